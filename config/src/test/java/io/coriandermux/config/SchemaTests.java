package io.coriandermux.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against schema files that accept or reject other documents than the parser, or
 * that reject the examples.
 */
class SchemaTests {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final Set<TableRule> STRUCTURAL_RULES = EnumSet.of(TableRule.UNKNOWN_FIELD, TableRule.MISSING_FIELD,
			TableRule.WRONG_TYPE, TableRule.OUT_OF_RANGE, TableRule.TOO_LARGE);

	private final JsonSchema routes = schema("routes");

	private final JsonSchema pools = schema("pools");

	@Property(seed = "11", tries = 3000)
	void schemaAndParserAgreeOnTheStructureOfDocuments(@ForAll("documents") MutatedDocument mutated)
			throws IOException {
		JsonSchema schema = mutated.key().contains("routes") ? this.routes : this.pools;
		JsonNode node = JSON.readTree(mutated.json());
		List<TableError> errors = errors(mutated).stream()
			.filter((error) -> STRUCTURAL_RULES.contains(error.rule()))
			.toList();
		assertThat(schema.validate(node).isEmpty()).as(mutated + " " + errors).isEqualTo(errors.isEmpty());
	}

	@Example
	void editedDocumentMatchesTheSchema() throws Exception {
		TableDocument absent = TableDocument.absent(TableKind.POOLS, new OwnerId("guild"));
		List<JsonNode> items = JsonDocuments.items("pools.json", "pools",
				JSON.readTree(Files.readString(Path.of("..", "examples", "pools.json"))));
		PlannedEdit plan = new TableEditor().plan(List.of(), absent, items,
				new EditIdentity("e1", "ada", "2026-12-04T05:00:00Z"));
		assertThat(this.pools.validate(JSON.readTree(plan.edited().toJson()))).isEmpty();
	}

	@Example
	void exampleSettingsMatchTheSchemaAndInvalidSettingsDoNot() throws IOException {
		for (String name : List.of("entry", "guard")) {
			JsonSchema schema = schema(name + "-settings");
			ObjectNode example = (ObjectNode) JSON
				.readTree(Files.readString(Path.of("..", "examples", name + ".json")));
			assertThat(schema.validate(example)).isEmpty();
			assertThat(schema.validate(example.deepCopy().put("prot", 1))).isNotEmpty();
			assertThat(schema.validate(example.deepCopy().put("address", "localhost"))).isNotEmpty();
			assertThat(schema.validate(example.deepCopy().put("secret", "both secrets are given"))).isNotEmpty();
			assertThat(schema.validate(example.deepCopy().without("id"))).isNotEmpty();
		}
	}

	@Provide
	Arbitrary<MutatedDocument> documents() {
		String pools = """
				{"owner":"guild","editor":"ada","pools":[{"name":"a","endpoints":["e*","f"],"owners":[{"owner":"guild",
				"weight":1,"maxInFlight":9}],"shortSlots":0,"maxQueueMs":5}],"audit":[{"editId":"e","editor":"ada",
				"editedAt":"now","fromRevision":1,"toRevision":2,"difference":[{}]}]}""";
		String routes = """
				{"owner":"guild","editId":"e","routes":[{"name":"r","path":"/r","pool":"a","timeoutMs":9}],"audit":[]}""";
		Arbitrary<MutatedDocument> valid = Arbitraries.of(new MutatedDocument("/config/pools/guild", pools),
				new MutatedDocument("/config/routes/guild", routes));
		Arbitrary<String> originals = Arbitraries.of("\"guild\"", "\"ada\"", "\"a\"", "\"e*\"", "\"/r\"", "\"r\"", "1",
				"9", "0", "5", "\"name\"", "\"weight\"", "\"endpoints\"", "\"audit\"", "\"timeoutMs\"", "[{}]",
				"\"routes\"", "\"shortSlots\"", "\"path\"", "2", "{}");
		Arbitrary<String> replacements = Arbitraries.of("\"\"", "\"x y\"", "\"*\"", "\"a*b\"", "\"/\"", "\"z\"", "-1",
				"0", "1", "1000001", "3600001", "0.5", "null", "[]", "{}", "true");
		return valid
			.flatMap((document) -> originals
				.flatMap((old) -> replacements.map((value) -> document.withReplaced(old, value))))
			.filter(MutatedDocument::isJson);
	}

	private static List<TableError> errors(MutatedDocument document) {
		try {
			new TableParser().parse(new Revision(1),
					List.of(new ConfigDocument(document.key(), new Revision(1), document.json())));
			return List.of();
		}
		catch (InvalidTablesException ex) {
			return ex.errors();
		}
	}

	private static JsonSchema schema(String name) {
		InputStream stream = SchemaTests.class.getResourceAsStream("/schema/" + name + ".schema.json");
		return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream);
	}

	record MutatedDocument(String key, String json) {

		MutatedDocument withReplaced(String old, String value) {
			return new MutatedDocument(this.key, this.json.replaceFirst("\\Q" + old + "\\E", value));
		}

		boolean isJson() {
			try {
				JsonDocuments.parse(this.key, this.json);
				return true;
			}
			catch (InvalidTablesException ex) {
				return false;
			}
		}

	}

}
