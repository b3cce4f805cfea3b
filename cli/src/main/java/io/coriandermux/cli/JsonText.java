package io.coriandermux.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Renders JSON as human-readable text: objects as lines of name and value, arrays of flat
 * objects as tables.
 */
final class JsonText {

	private static final String INDENT = "  ";

	private final StringBuilder text = new StringBuilder();

	private JsonText() {
	}

	static String of(JsonNode node) {
		JsonText renderer = new JsonText();
		renderer.appendValue(node, "");
		return (node.isContainerNode() && node.isEmpty()) ? "none" : renderer.text.toString().stripTrailing();
	}

	private void appendValue(JsonNode node, String indent) {
		if (node.isObject()) {
			appendObject(node, indent);
		}
		else if (isTable(node)) {
			appendTable(node, indent);
		}
		else if (node.isArray()) {
			for (JsonNode item : node) {
				appendLine(indent, item.isValueNode() ? "- " + item.asText() : "-");
				if (item.isContainerNode()) {
					appendValue(item, indent + INDENT);
				}
			}
		}
		else {
			appendLine(indent, node.asText());
		}
	}

	private void appendObject(JsonNode node, String indent) {
		node.forEachEntry((name, field) -> {
			if (field.isValueNode() || isSingleValueObject(field)) {
				appendLine(indent, name + ": " + flatten(field));
			}
			else if (field.isEmpty()) {
				appendLine(indent, name + ": none");
			}
			else {
				appendLine(indent, name + ":");
				appendValue(field, indent + INDENT);
			}
		});
	}

	private static boolean isTable(JsonNode node) {
		if (!node.isArray() || node.isEmpty()) {
			return false;
		}
		for (JsonNode row : node) {
			if (!row.isObject()) {
				return false;
			}
			for (JsonNode cell : row) {
				if (cell.isContainerNode() && cell.toString().length() > 100) {
					return false;
				}
			}
		}
		return true;
	}

	private void appendTable(JsonNode node, String indent) {
		Set<String> columns = new LinkedHashSet<>();
		node.forEach((row) -> row.fieldNames().forEachRemaining(columns::add));
		Map<String, Integer> widths = new LinkedHashMap<>();
		for (String column : columns) {
			int width = column.length();
			for (JsonNode row : node) {
				width = Math.max(width, formatCell(row, column).length());
			}
			widths.put(column, width);
		}
		appendLine(indent, formatRow(widths, new ArrayList<>(columns)));
		for (JsonNode row : node) {
			appendLine(indent, formatRow(widths, columns.stream().map((column) -> formatCell(row, column)).toList()));
		}
	}

	private static String formatRow(Map<String, Integer> widths, List<String> cells) {
		StringBuilder line = new StringBuilder();
		int i = 0;
		for (int width : widths.values()) {
			String cell = cells.get(i++);
			line.append(cell).append(" ".repeat(width - cell.length() + 2));
		}
		return line.toString().stripTrailing();
	}

	private static String formatCell(JsonNode row, String column) {
		JsonNode value = row.path(column);
		return value.isArray() ? value.toString() : flatten(value);
	}

	// Joins the values of an object, such as a job key, by slashes.
	private static String flatten(JsonNode value) {
		if (!value.isObject()) {
			return value.isArray() ? value.toString() : value.asText();
		}
		List<String> parts = new ArrayList<>();
		value.forEach((part) -> parts.add(flatten(part)));
		return String.join("/", parts);
	}

	private static boolean isSingleValueObject(JsonNode value) {
		return value.isObject() && value.size() == 1 && value.has("value");
	}

	private void appendLine(String indent, String content) {
		this.text.append(indent).append(content).append('\n');
	}

}
