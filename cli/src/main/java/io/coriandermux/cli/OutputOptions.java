package io.coriandermux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Option for JSON output, and the printing of results.
 */
final class OutputOptions {

	static final String JSON = "--json";

	@Option(names = JSON, description = "Print the result as JSON.")
	private boolean json;

	@Spec(Spec.Target.MIXEE)
	private CommandSpec spec;

	/**
	 * Returns the context of the command.
	 * @return the context
	 */
	CliContext context() {
		return ((CoriandermuxCommand) this.spec.root().userObject()).context();
	}

	/**
	 * Returns whether the output is JSON.
	 * @return whether the output is JSON
	 */
	boolean isJson() {
		return this.json;
	}

	/**
	 * Prints a result.
	 * @param result the result as JSON
	 * @param text the result as text
	 */
	void print(JsonNode result, String text) {
		context().out().println(this.json ? result.toPrettyString() : text);
		context().out().flush();
	}

	/**
	 * Prints a result; its text is rendered from the JSON.
	 * @param result the result
	 */
	void print(JsonNode result) {
		print(result, JsonText.of(result));
	}

}
