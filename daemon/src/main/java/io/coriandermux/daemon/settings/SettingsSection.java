package io.coriandermux.daemon.settings;

import java.net.URI;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.wire.PeerAddress;

/**
 * Reads the fields of a JSON object and collects all errors. An invalid field yields a
 * placeholder of the right type, because invalid settings are never used.
 */
final class SettingsSection {

	private static final int MAX_PORT = 65_535;

	private static final String IP_ADDRESS_PATTERN = "[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]*";

	private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";

	private final JsonNode node;

	private final String path;

	private final List<String> errors;

	private final Set<String> requestedFields = new LinkedHashSet<>();

	SettingsSection(JsonNode node, String path, List<String> errors) {
		this.node = node;
		this.path = path;
		this.errors = errors;
		if (!node.isObject()) {
			errors.add((path.isEmpty() ? "the settings" : path) + ": an object is expected");
		}
	}

	boolean has(String field) {
		this.requestedFields.add(field);
		return this.node.has(field);
	}

	String text(String field) {
		JsonNode value = requestField(field);
		if (value.isTextual() && !value.textValue().isBlank()) {
			return value.textValue();
		}
		addError(field, value, "a non-blank string is expected");
		return "-";
	}

	String name(String field) {
		String value = text(field);
		return matches(field, value, NAME_PATTERN,
				"1 to 63 letters, digits, dots, underscores and hyphens are expected") ? value : "-";
	}

	String address(String field) {
		String value = text(field);
		return matches(field, value, IP_ADDRESS_PATTERN, "an IP address is expected") ? value : "127.0.0.1";
	}

	String sha256(String field) {
		String value = text(field);
		return matches(field, value, "[0-9a-f]{64}", "a SHA-256 in 64 lower-case hexadecimal digits is expected")
				? value : "-";
	}

	int port(String field) {
		return (int) number(field, 0, MAX_PORT);
	}

	long number(String field, long min, long max) {
		JsonNode value = requestField(field);
		if (value.isIntegralNumber() && value.canConvertToLong() && value.longValue() >= min
				&& value.longValue() <= max) {
			return value.longValue();
		}
		addError(field, value, "a whole number from " + min + " to " + max + " is expected");
		return min;
	}

	long number(String field, long min, long max, long defaultValue) {
		return has(field) ? number(field, min, max) : defaultValue;
	}

	double decimal(String field, double min, double max) {
		JsonNode value = requestField(field);
		if (value.isNumber() && value.doubleValue() >= min && value.doubleValue() <= max) {
			return value.doubleValue();
		}
		addError(field, value, "a number from " + min + " to " + max + " is expected");
		return min;
	}

	PeerAddress listenAddress(String field) {
		JsonNode value = requestField(field);
		String text = value.asText();
		int colon = text.lastIndexOf(':');
		String port = text.substring(colon + 1);
		if (colon > 0 && port.matches("[0-9]{1,5}")) {
			return new PeerAddress(text.substring(0, colon), Integer.parseInt(port));
		}
		addError(field, value, "an IP address and a port are expected");
		return new PeerAddress("127.0.0.1", 0);
	}

	URI url(String field) {
		return url(pathOf(field), requestField(field));
	}

	List<URI> urls(String field) {
		JsonNode value = requestField(field);
		List<URI> urls = new ArrayList<>();
		if (!value.isArray() || value.isEmpty()) {
			addError(field, value, "a list of at least one URL is expected");
			return urls;
		}
		for (int index = 0; index < value.size(); index++) {
			urls.add(url(pathOf(field) + "[" + index + "]", value.get(index)));
		}
		return urls;
	}

	SettingsSection section(String field) {
		return new SettingsSection(requestField(field), pathOf(field), this.errors);
	}

	List<SettingsSection> sections(String field) {
		JsonNode value = requestField(field);
		List<SettingsSection> sections = new ArrayList<>();
		if (!value.isArray()) {
			addError(field, value, "a list is expected");
			return sections;
		}
		for (int index = 0; index < value.size(); index++) {
			sections.add(new SettingsSection(value.get(index), pathOf(field) + "[" + index + "]", this.errors));
		}
		return sections;
	}

	void addError(String field, String rule) {
		this.errors.add(pathOf(field) + ": " + rule);
	}

	/**
	 * Adds an error for each field that was never requested.
	 */
	void rejectUnknownFields() {
		Iterator<String> names = this.node.fieldNames();
		while (names.hasNext()) {
			String name = names.next();
			if (!this.requestedFields.contains(name)) {
				this.errors.add(pathOf(name) + ": unknown field");
			}
		}
	}

	private JsonNode requestField(String field) {
		this.requestedFields.add(field);
		return this.node.path(field);
	}

	private URI url(String fieldPath, JsonNode value) {
		if (value.isTextual() && value.textValue().matches("http://[^/ ]+:[0-9]+(/[^ ?#]*)?")) {
			return URI.create(value.textValue());
		}
		this.errors.add(fieldPath + ": a URL such as http://10.0.0.1:2379 is expected");
		return URI.create("http://127.0.0.1:1");
	}

	private boolean matches(String field, String value, String pattern, String rule) {
		if (value.matches(pattern)) {
			return true;
		}
		if (this.node.path(field).isTextual()) {
			this.errors.add(pathOf(field) + ": " + rule);
		}
		return false;
	}

	private void addError(String field, JsonNode value, String rule) {
		this.errors.add(pathOf(field) + ": " + (value.isMissingNode() ? "missing; " : "") + rule);
	}

	private String pathOf(String field) {
		return this.path.isEmpty() ? field : this.path + "." + field;
	}

}
