package io.coriandermux.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows the state of processes.
 */
@Command(name = "status", mixinStandardHelpOptions = true,
		description = "Shows the state of processes: role, configuration revision, peers, queues, slots.")
final class StatusCommand implements Callable<Integer> {

	@Mixin
	private OperatorPortOptions ops;

	@Mixin
	private OutputOptions output;

	@Override
	public Integer call() throws Exception {
		return OperatorCalls.callAndPrint(this.ops, this.output, "GET", "/status");
	}

}
