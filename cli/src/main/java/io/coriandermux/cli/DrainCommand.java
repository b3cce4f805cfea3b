package io.coriandermux.cli;

import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Requests a graceful shutdown of processes.
 */
@Command(name = "drain", mixinStandardHelpOptions = true,
		description = "Shuts processes down gracefully: a guard accepts no new tasks and ends running ones, an entry "
				+ "hands its partitions over.")
final class DrainCommand implements Callable<Integer> {

	@Mixin
	private OperatorPortOptions ops;

	@Mixin
	private OutputOptions output;

	@Override
	public Integer call() throws Exception {
		ObjectNode responses = JsonNodeFactory.instance.objectNode();
		ExitCode code = OperatorCalls.callAll(this.ops, "POST", "/drain", responses);
		StringBuilder text = new StringBuilder();
		responses.forEachEntry((url, response) -> text.append(url)
			.append(response.has("error") ? ": " + response.path("message").asText() : " drains")
			.append('\n'));
		this.output.print(responses, text.toString().stripTrailing());
		return code.number();
	}

}
