package io.coriandermux.config;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Reads fields of a document and collects the errors that it finds. A read method returns
 * an empty result if it adds an error.
 */
final class DocumentReader {

	private final String document;

	private final List<TableError> errors = new ArrayList<>();

	DocumentReader(String document) {
		this.document = document;
	}

	List<TableError> errors() {
		return this.errors;
	}

	void addErrors(List<TableError> others) {
		this.errors.addAll(others);
	}

	void addError(String pointer, TableRule rule, String message) {
		this.errors.add(new TableError(this.document, pointer, rule, message));
	}

	void checkFieldNames(JsonNode node, String pointer, Set<String> allowed) {
		for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!allowed.contains(name)) {
				addError(pointer + "/" + name, TableRule.UNKNOWN_FIELD, "unknown field");
			}
		}
	}

	Optional<String> readText(JsonNode node, String pointer, String field) {
		JsonNode value = node.get(field);
		String fieldPointer = pointer + "/" + field;
		if (value == null) {
			addError(fieldPointer, TableRule.MISSING_FIELD, "the field is missing");
			return Optional.empty();
		}
		if (!value.isTextual()) {
			addError(fieldPointer, TableRule.WRONG_TYPE, "the field is not a string");
			return Optional.empty();
		}
		return Optional.of(value.textValue());
	}

	Optional<String> readName(JsonNode node, String pointer, String field) {
		Optional<String> text = readText(node, pointer, field);
		if (text.isPresent() && !ConfigKeys.isValidName(text.get())) {
			addError(pointer + "/" + field, TableRule.OUT_OF_RANGE,
					"a name has 1 to 63 characters of A-Z a-z 0-9 . _ -");
			return Optional.empty();
		}
		return text;
	}

	OptionalLong readNumber(JsonNode node, String pointer, String field, long min, long max) {
		JsonNode value = node.get(field);
		String fieldPointer = pointer + "/" + field;
		if (value == null) {
			addError(fieldPointer, TableRule.MISSING_FIELD, "the field is missing");
			return OptionalLong.empty();
		}
		if (!value.isIntegralNumber()) {
			addError(fieldPointer, TableRule.WRONG_TYPE, "the field is not an integer");
			return OptionalLong.empty();
		}
		if (!value.canConvertToLong() || value.longValue() < min || value.longValue() > max) {
			addError(fieldPointer, TableRule.OUT_OF_RANGE, "the number is outside the range " + min + " to " + max);
			return OptionalLong.empty();
		}
		return OptionalLong.of(value.longValue());
	}

	List<JsonNode> readObjects(JsonNode node, String pointer, String field, int maxSize) {
		List<JsonNode> objects = new ArrayList<>();
		List<JsonNode> items = readItems(node, pointer, field, maxSize);
		for (int i = 0; i < items.size(); i++) {
			if (!items.get(i).isObject()) {
				addError(pointer + "/" + field + "/" + i, TableRule.WRONG_TYPE, "the item is not an object");
				return List.of();
			}
			objects.add(items.get(i));
		}
		return objects;
	}

	List<JsonNode> readItems(JsonNode node, String pointer, String field, int maxSize) {
		JsonNode value = node.get(field);
		String fieldPointer = pointer + "/" + field;
		if (value == null) {
			addError(fieldPointer, TableRule.MISSING_FIELD, "the field is missing");
			return List.of();
		}
		if (!value.isArray()) {
			addError(fieldPointer, TableRule.WRONG_TYPE, "the field is not a list");
			return List.of();
		}
		if (value.size() > maxSize) {
			addError(fieldPointer, TableRule.TOO_LARGE, "the list has more than " + maxSize + " items");
			return List.of();
		}
		List<JsonNode> items = new ArrayList<>();
		value.forEach(items::add);
		return items;
	}

}
