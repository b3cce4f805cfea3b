package io.coriandermux.cli;

import java.util.concurrent.Callable;

import io.coriandermux.core.id.JobId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Waits for the outcome of a job and prints it.
 */
@Command(name = "get", mixinStandardHelpOptions = true, description = "Waits for the outcome of a job and prints it.")
final class JobGetCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Mixin
	private OutputOptions output;

	@Parameters(paramLabel = "ID", description = "The job id.")
	private String id;

	@Override
	public Integer call() throws Exception {
		JobId job = new JobId(this.id);
		return new JobClient(this.entry, this.output).call("GET",
				"/v1/jobs/" + job + "?waitMs=" + this.entry.waitMillis(), "", job.text());
	}

}
