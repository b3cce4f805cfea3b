package io.coriandermux.cli;

import java.util.concurrent.Callable;

import io.coriandermux.core.id.JobId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Cancels a job: queued tasks do not run, running tasks are aborted.
 */
@Command(name = "cancel", mixinStandardHelpOptions = true,
		description = "Cancels a job: queued tasks do not run, running tasks are aborted.")
final class JobCancelCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Mixin
	private OutputOptions output;

	@Parameters(paramLabel = "ID", description = "The job id.")
	private String id;

	@Override
	public Integer call() throws Exception {
		JobId job = new JobId(this.id);
		return new JobClient(this.entry, this.output).call("DELETE", "/v1/jobs/" + job, "", job.text());
	}

}
