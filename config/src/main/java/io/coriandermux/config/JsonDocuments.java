package io.coriandermux.config;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Strict parsing of JSON documents.
 */
public final class JsonDocuments {

	private static final ObjectMapper STRICT = JsonMapper.builder()
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private JsonDocuments() {
	}

	/**
	 * Parses a text as a single JSON value. Duplicate fields and trailing tokens are
	 * errors.
	 * @param document the name of the document in error messages
	 * @param json the text to parse
	 * @return the value
	 * @throws InvalidTablesException if the text is not valid JSON
	 */
	public static JsonNode parse(String document, String json) throws InvalidTablesException {
		try {
			return STRICT.readTree(json);
		}
		catch (JsonProcessingException ex) {
			throw failure(document, "", TableRule.MALFORMED, "the text is not JSON: " + ex.getOriginalMessage());
		}
	}

	/**
	 * Returns the objects of a list, or of the list that is a field of an object.
	 * @param document the name of the document in error messages
	 * @param field the name of the field
	 * @param node the list, or the object with the field
	 * @return the items
	 * @throws InvalidTablesException if there is no list or an item is not an object
	 */
	public static List<JsonNode> items(String document, String field, JsonNode node) throws InvalidTablesException {
		JsonNode list = node.isObject() ? node.path(field) : node;
		if (!list.isArray()) {
			throw failure(document, "/" + field, TableRule.WRONG_TYPE, "there is no list of " + field);
		}
		List<JsonNode> items = new ArrayList<>();
		for (JsonNode item : list) {
			if (!item.isObject()) {
				throw failure(document, "/" + field + "/" + items.size(), TableRule.WRONG_TYPE,
						"the item is not an object");
			}
			items.add(item);
		}
		return List.copyOf(items);
	}

	static InvalidTablesException failure(String document, String pointer, TableRule rule, String message) {
		return new InvalidTablesException(List.of(new TableError(document, pointer, rule, message)));
	}

}
