package io.coriandermux.config;

import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against differences that omit a change or undo it incorrectly.
 */
class TableDiffTests {

	@Example
	void addedRemovedAndChangedItemsAreListedAndUndone() throws InvalidTablesException {
		List<JsonNode> before = items("[{\"name\":\"a\"},{\"name\":\"b\",\"x\":1},{\"name\":\"c\"}]");
		List<JsonNode> after = items("[{\"name\":\"c\"},{\"name\":\"b\",\"x\":2},{\"name\":\"d\"}]");
		List<ItemChange> changes = TableDiff.between(before, after);
		assertThat(changes).extracting((change) -> change.kind() + " " + change.name())
			.containsExactly("removed a", "changed b", "added d");
		assertThat(TableDiff.undo(after, changes))
			.hasValueSatisfying((items) -> assertThat(items).containsExactlyInAnyOrderElementsOf(before));
		assertThat(TableDiff.undo(before, changes)).isEqualTo(Optional.empty());
		assertThat(ItemChange.of(changes.get(1).toJson())).isEqualTo(changes.get(1));
	}

	private static List<JsonNode> items(String json) throws InvalidTablesException {
		return JsonDocuments.items("test", "routes", JsonDocuments.parse("test", json));
	}

}
