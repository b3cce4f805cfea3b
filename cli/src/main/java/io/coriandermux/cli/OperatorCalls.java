package io.coriandermux.cli;

import java.net.URI;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Sends the same request to several processes and collects the responses by address.
 */
final class OperatorCalls {

	private OperatorCalls() {
	}

	/**
	 * Calls the processes and prints the responses. A failed call is printed with its
	 * error next to the responses of the other processes.
	 * @param options the addresses of the processes
	 * @param output the output
	 * @param method the HTTP method
	 * @param target the path and query
	 * @return the exit code of the last failed call, else {@link ExitCode#OK}
	 * @throws CliException if the call of the only given process fails
	 */
	static int callAndPrint(OperatorPortOptions options, OutputOptions output, String method, String target)
			throws CliException {
		if (options.urls().size() == 1) {
			output.print(options.call(options.urls().get(0), method, target));
			return ExitCode.OK.number();
		}
		ObjectNode responses = JsonNodeFactory.instance.objectNode();
		ExitCode code = callAll(options, method, target, responses);
		output.print(responses);
		return code.number();
	}

	static ExitCode callAll(OperatorPortOptions options, String method, String target, ObjectNode responses) {
		ExitCode code = ExitCode.OK;
		for (URI url : options.urls()) {
			try {
				responses.set(url.toString(), options.call(url, method, target));
			}
			catch (CliException ex) {
				responses.set(url.toString(), ex.toJson());
				code = ex.code();
			}
		}
		return code;
	}

}
