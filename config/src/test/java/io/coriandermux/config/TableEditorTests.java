package io.coriandermux.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against audit records that do not match the edits, and so against a rollback to
 * a state that never existed.
 */
class TableEditorTests {

	private static final OwnerId OWNER = new OwnerId("guild");

	private final TableEditor editor = new TableEditor();

	@Property(seed = "20261204", tries = 50)
	void everyAuditedRevisionIsReconstructedByUndoingTheEdits(
			@ForAll @Size(min = 1, max = 60) List<@IntRange(max = 6) Integer> choices) throws InvalidTablesException {
		TableDocument document = TableDocument.absent(TableKind.POOLS, OWNER);
		List<List<JsonNode>> states = new ArrayList<>(List.of(List.of()));
		List<Long> revisions = new ArrayList<>(List.of(0L));
		long revision = 0;
		for (int choice : choices) {
			List<JsonNode> items = toggleItem(document.items(), choice, revision);
			PlannedEdit plan = this.editor.plan(List.of(), document, items,
					new EditIdentity("e" + revision, "ada", "2026-12-04T05:00:00Z"));
			revision += 1 + choice;
			document = TableDocument.of(TableKind.POOLS, OWNER, revision, plan.edited().toJson());
			states.add(document.items());
			revisions.add(revision);
		}
		int auditedEdits = Math.min(choices.size(), TableEditor.MAX_AUDIT_RECORDS);
		assertThat(document.audit()).hasSize(auditedEdits);
		for (int i = states.size() - 1 - auditedEdits; i < states.size(); i++) {
			assertThat(TableEditor.itemsAt(document, revisions.get(i))).hasValueSatisfying(hasItems(states.get(i)));
		}
		assertThat(TableEditor.itemsAt(document, revision + 1)).isEmpty();
	}

	@Example
	void editOfPoolsThatBreaksARouteIsRejected() throws InvalidTablesException {
		TableDocument pools = TableDocument.of(TableKind.POOLS, OWNER, 3,
				"{\"owner\":\"guild\",\"pools\":[" + pool("fast", 1) + "]}");
		ConfigDocument routes = new ConfigDocument("/config/routes/guild", new Revision(4), """
				{"owner":"guild","routes":[{"name":"r","path":"/","pool":"fast","timeoutMs":5}]}""");
		List<ConfigDocument> all = List.of(new ConfigDocument("/config/pools/guild", new Revision(3), pools.toJson()),
				routes);
		assertThatExceptionOfType(InvalidTablesException.class)
			.isThrownBy(() -> this.editor.plan(all, pools, List.of(), new EditIdentity("e", "ada", "")))
			.withMessageContaining("/config/routes/guild#/routes/0/pool: unknown_pool");
	}

	@Example
	void oldestRecordsAreDroppedIfTheDocumentWouldExceedItsSizeLimit() throws InvalidTablesException {
		TableDocument document = TableDocument.absent(TableKind.POOLS, OWNER);
		PlannedEdit plan = null;
		for (int i = 1; i <= 6; i++) {
			StringBuilder endpoints = new StringBuilder("\"e\"");
			for (int j = 0; j < 9000; j++) {
				endpoints.append(",\"endpoint-").append(i).append('-').append(j).append('"');
			}
			JsonNode item = JsonDocuments.parse("test", pool("fast", i).replace("\"e\"", endpoints));
			plan = this.editor.plan(List.of(), document, List.of(item), new EditIdentity("e" + i, "ada", ""));
			document = TableDocument.of(TableKind.POOLS, OWNER, i, plan.edited().toJson());
		}
		assertThat(plan.dropped()).isNotEmpty();
		assertThat(document.toJson().length()).isLessThanOrEqualTo(TableParser.MAX_DOCUMENT_BYTES);
		assertThat(document.auditRecord("e6")).isPresent();
	}

	private static Consumer<List<JsonNode>> hasItems(List<JsonNode> expected) {
		return (items) -> assertThat(items).containsExactlyInAnyOrderElementsOf(expected);
	}

	private static List<JsonNode> toggleItem(List<JsonNode> items, int choice, long revision)
			throws InvalidTablesException {
		String name = "p" + choice;
		List<JsonNode> result = new ArrayList<>(items);
		boolean removed = result.removeIf((item) -> item.path("name").asText().equals(name));
		if (!removed || revision % 2 == 0) {
			result.add(JsonDocuments.parse("test", pool(name, (int) revision + 1)));
		}
		return result;
	}

	private static String pool(String name, int weight) {
		return "{\"name\":\"" + name + "\",\"endpoints\":[\"e\"],\"owners\":[{\"owner\":\"guild\",\"weight\":" + weight
				+ ",\"maxInFlight\":1}]}";
	}

}
