package io.coriandermux.cli;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Shows the newest log events of processes.
 */
@Command(name = "events", mixinStandardHelpOptions = true,
		description = "Shows the newest log events of processes; docs/EVENTS.md explains each event.")
final class EventsCommand implements Callable<Integer> {

	@Mixin
	private OperatorPortOptions ops;

	@Mixin
	private OutputOptions output;

	@Override
	public Integer call() throws Exception {
		return OperatorCalls.callAndPrint(this.ops, this.output, "GET", "/events");
	}

}
