package io.coriandermux.daemon.run;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

/**
 * Parses JSON that other processes have written, and reads its fields with their types
 * and ranges.
 */
public final class JsonInput {

	/** Largest integer that every JSON reader represents exactly. */
	public static final long MAX_INTEGER = (1L << 53) - 1;

	/**
	 * Maximum depth of a document. The documents that are read have at most five levels.
	 */
	static final int MAX_DEPTH = 32;

	/** Maximum length of a number. A 64-bit integer has 20 characters. */
	private static final int MAX_NUMBER_CHARACTERS = 64;

	/**
	 * Maximum length of a text. A value of the store has 1 MB, and a third more as
	 * base64.
	 */
	private static final int MAX_TEXT_CHARACTERS = 2 * 1024 * 1024;

	private static final int MAX_QUOTED_CHARACTERS = 64;

	private static final ObjectMapper MAPPER = JsonMapper
		.builder(JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder()
				.maxNestingDepth(MAX_DEPTH)
				.maxNumberLength(MAX_NUMBER_CHARACTERS)
				.maxStringLength(MAX_TEXT_CHARACTERS)
				.build())
			.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
			.build())
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	private JsonInput() {
	}

	/**
	 * Returns the mapper with the limits. It must not be configured further.
	 * @return the mapper
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Parses an object.
	 * @param json the text to parse
	 * @return the object
	 * @throws MalformedValueException if the text is not exactly one JSON object or
	 * exceeds a limit
	 */
	public static JsonNode parseObject(String json) throws MalformedValueException {
		try {
			JsonNode node = MAPPER.readTree(json);
			if (!node.isObject()) {
				throw new MalformedValueException("an object is expected");
			}
			return node;
		}
		catch (JsonProcessingException ex) {
			throw new MalformedValueException("not JSON: " + ex.getOriginalMessage());
		}
	}

	/**
	 * Reads a text.
	 * @param object the object
	 * @param field name of the text
	 * @param maxCharacters longest text to accept
	 * @return the text
	 * @throws MalformedValueException if the field is not a text, is too long, or has an
	 * unpaired surrogate, which UTF-8 cannot encode
	 */
	public static String text(JsonNode object, String field, int maxCharacters) throws MalformedValueException {
		JsonNode value = object.path(field);
		if (!value.isTextual() || value.textValue().length() > maxCharacters) {
			throw new MalformedValueException(
					field + ": a text of at most " + maxCharacters + " characters is expected");
		}
		if (!isEncodable(value.textValue())) {
			throw new MalformedValueException(field + ": the text has an unpaired surrogate");
		}
		return value.textValue();
	}

	/**
	 * Returns whether UTF-8 can encode a text. JSON can name an unpaired surrogate by an
	 * escape. The encoder would replace it, and the next process would receive another
	 * text.
	 * @param text the text
	 * @return whether each of its surrogates is one of a pair
	 */
	public static boolean isEncodable(String text) {
		return StandardCharsets.UTF_8.newEncoder().canEncode(text);
	}

	/**
	 * Reads a whole number.
	 * @param object the object
	 * @param field name of the number
	 * @param min smallest number to accept
	 * @param max largest number to accept
	 * @return the number
	 * @throws MalformedValueException if the field is not a whole number in the range
	 */
	public static long number(JsonNode object, String field, long min, long max) throws MalformedValueException {
		JsonNode value = object.path(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < min
				|| value.longValue() > max) {
			throw new MalformedValueException(field + ": a whole number from " + min + " to " + max + " is expected");
		}
		return value.longValue();
	}

	/**
	 * Shortens a text of another process for a message.
	 * @param text the text
	 * @return its first 64 characters
	 */
	public static String quote(String text) {
		return (text.length() > MAX_QUOTED_CHARACTERS) ? text.substring(0, MAX_QUOTED_CHARACTERS) + "..." : text;
	}

}
