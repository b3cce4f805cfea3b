package io.coriandermux.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Shows the state of processes periodically.
 */
@Command(name = "top", mixinStandardHelpOptions = true,
		description = "Periodically shows one line for each process with the plain fields of its status.")
final class TopCommand implements Callable<Integer> {

	@Mixin
	private OperatorPortOptions ops;

	@Mixin
	private OutputOptions output;

	@Option(names = "--interval-ms", paramLabel = "MS", defaultValue = "1000",
			description = "Refresh interval in milliseconds (default: ${DEFAULT-VALUE}).")
	private long intervalMillis;

	@Option(names = "--count", defaultValue = "0",
			description = "Number of refreshes, 0 for no limit (default: ${DEFAULT-VALUE}).")
	private long count;

	@Override
	public Integer call() throws Exception {
		ExitCode code = ExitCode.OK;
		for (long refresh = 1; this.count == 0 || refresh <= this.count; refresh++) {
			if (refresh > 1) {
				this.output.context().sleeper().sleep(this.intervalMillis);
			}
			ObjectNode responses = JsonNodeFactory.instance.objectNode();
			code = OperatorCalls.callAll(this.ops, "GET", "/status", responses);
			ArrayNode rows = JsonNodeFactory.instance.arrayNode();
			responses.forEachEntry((url, status) -> rows.add(toRow(url, status)));
			this.output.print(rows, formatTables(rows));
		}
		return code.number();
	}

	// Processes of different kinds have different fields, so each kind gets its own
	// table.
	private static String formatTables(ArrayNode rows) {
		Map<List<String>, ArrayNode> tables = new LinkedHashMap<>();
		for (JsonNode row : rows) {
			List<String> fields = new ArrayList<>();
			row.fieldNames().forEachRemaining(fields::add);
			tables.computeIfAbsent(fields, (key) -> JsonNodeFactory.instance.arrayNode()).add(row);
		}
		return String.join("\n\n", tables.values().stream().map(JsonText::of).toList());
	}

	private static ObjectNode toRow(String url, JsonNode status) {
		ObjectNode row = JsonNodeFactory.instance.objectNode().put("process", url);
		status.forEachEntry((name, value) -> {
			if (value.isValueNode()) {
				row.set(name, value);
			}
			else if (value.size() == 1 && value.has("value")) {
				row.set(name, value.get("value"));
			}
			else if (value.isArray()) {
				row.put(name, value.size());
			}
		});
		return row;
	}

}
