package io.coriandermux.cli;

import java.util.concurrent.Callable;

import io.coriandermux.core.id.OwnerId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Shows the newest failures of an owner's jobs.
 */
@Command(name = "failures", mixinStandardHelpOptions = true,
		description = "Shows the newest failures of an owner's jobs.")
final class FailuresCommand implements Callable<Integer> {

	@Mixin
	private OperatorPortOptions ops;

	@Mixin
	private OutputOptions output;

	@Parameters(paramLabel = "OWNER", description = "The owner.")
	private String owner;

	@Override
	public Integer call() throws Exception {
		return OperatorCalls.callAndPrint(this.ops, this.output, "GET", "/failures/" + new OwnerId(this.owner));
	}

}
