package io.coriandermux.config;

import java.util.List;
import java.util.Map;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against documents that make the parser fail with an unexpected exception, and
 * against errors without a document, a rule or a message.
 */
class TableFuzzTests {

	private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

	private static final List<String> FIELDS = List.of("owner", "routes", "pools", "audit", "name", "path", "pool",
			"timeoutMs", "endpoints", "owners", "weight", "maxInFlight", "shortSlots", "maxQueueMs", "editId", "x");

	private final TableParser parser = new TableParser();

	@Property(seed = "5", tries = 2000)
	void anyJsonIsAcceptedOrGetsTypedErrors(@ForAll("keys") String key, @ForAll("json") JsonNode json) {
		check(new ConfigDocument(key, new Revision(1), json.toString()));
	}

	@Property(seed = "6", tries = 1000)
	void anyTextIsAcceptedOrGetsTypedErrors(@ForAll("keys") String key, @ForAll String text) {
		check(new ConfigDocument(key, new Revision(1), text));
	}

	@Property(seed = "7", tries = 1000)
	void corruptedDocumentIsAcceptedOrGetsTypedErrors(@ForAll("keys") String key, @ForAll("corrupted") String text) {
		check(new ConfigDocument(key, new Revision(1), text));
	}

	@Provide
	Arbitrary<String> keys() {
		return Arbitraries.of("/config/routes/guild", "/config/pools/guild", "/config/pools/", "/config/", "/other");
	}

	@Provide
	Arbitrary<String> corrupted() {
		String valid = """
				{"owner":"guild","pools":[{"name":"a","endpoints":["e*"],"owners":[{"owner":"guild","weight":1,
				"maxInFlight":9}]}],"audit":[]}""";
		return Arbitraries.integers()
			.between(0, valid.length() - 1)
			.flatMap((at) -> Arbitraries.of("", "\"", "{", "]", "0", "null", "-1", "1e999", "\\u0000", ",")
				.map((piece) -> valid.substring(0, at) + piece + valid.substring(at + 1)));
	}

	@Provide
	Arbitrary<JsonNode> json() {
		Arbitrary<JsonNode> leaf = Arbitraries.oneOf(
				Arbitraries.longs().map((value) -> (JsonNode) NODES.numberNode(value)),
				Arbitraries.of("guild", "", "a", "*", "/a").map((value) -> (JsonNode) NODES.textNode(value)),
				Arbitraries.of(NODES.nullNode(), NODES.booleanNode(true), NODES.numberNode(0.5)));
		return Arbitraries.recursive(() -> leaf, this::nested, 0, 4);
	}

	private Arbitrary<JsonNode> nested(Arbitrary<JsonNode> inner) {
		Function<Map<String, JsonNode>, JsonNode> toObject = (fields) -> {
			ObjectNode node = NODES.objectNode();
			node.setAll(fields);
			return node;
		};
		Function<List<JsonNode>, JsonNode> toArray = (items) -> {
			ArrayNode node = NODES.arrayNode();
			node.addAll(items);
			return node;
		};
		return Arbitraries.oneOf(Arbitraries.maps(Arbitraries.of(FIELDS), inner).ofMaxSize(5).map(toObject),
				inner.list().ofMaxSize(3).map(toArray));
	}

	private void check(ConfigDocument document) {
		try {
			assertThat(this.parser.parse(new Revision(1), List.of(document))).isNotNull();
		}
		catch (InvalidTablesException ex) {
			assertThat(ex.errors()).isNotEmpty().allSatisfy((error) -> {
				assertThat(error.document()).isEqualTo(document.key());
				assertThat(error.rule()).isNotNull();
				assertThat(error.message()).isNotBlank();
			});
		}
	}

}
