package io.coriandermux.cli;

import java.util.concurrent.Callable;

import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Shows what the entries recorded about a job and its tasks.
 */
@Command(name = "explain", mixinStandardHelpOptions = true,
		description = "Shows what the given entries recorded about a job and its tasks.")
final class ExplainCommand implements Callable<Integer> {

	@Mixin
	private OperatorPortOptions ops;

	@Mixin
	private OutputOptions output;

	@Parameters(index = "0", paramLabel = "OWNER", description = "The owner.")
	private String owner;

	@Parameters(index = "1", paramLabel = "JOB", description = "The job id.")
	private String job;

	@Override
	public Integer call() throws Exception {
		return OperatorCalls.callAndPrint(this.ops, this.output, "GET",
				"/explain/" + new OwnerId(this.owner) + "/" + new JobId(this.job));
	}

}
