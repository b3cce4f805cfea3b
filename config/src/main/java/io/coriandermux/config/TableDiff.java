package io.coriandermux.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Differences between two lists of routes or pools. Items are matched by name; their
 * order is ignored.
 */
public final class TableDiff {

	private TableDiff() {
	}

	/**
	 * Returns the changes that turn one list into the other.
	 * @param before the items before the changes
	 * @param after the items after the changes
	 * @return the changes: removed and changed items in the order of the old list, then
	 * added items in the order of the new list
	 */
	public static List<ItemChange> between(List<JsonNode> before, List<JsonNode> after) {
		Map<String, JsonNode> old = byName(before);
		Map<String, JsonNode> current = byName(after);
		List<ItemChange> changes = new ArrayList<>();
		old.forEach((name, item) -> {
			if (!item.equals(current.get(name))) {
				changes.add(new ItemChange(name, Optional.of(item), Optional.ofNullable(current.get(name))));
			}
		});
		current.forEach((name, item) -> {
			if (!old.containsKey(name)) {
				changes.add(new ItemChange(name, Optional.empty(), Optional.of(item)));
			}
		});
		return changes;
	}

	/**
	 * Undoes changes.
	 * @param items the items after the changes
	 * @param changes the changes
	 * @return the items before the changes, or empty if the items do not match the state
	 * after the changes
	 */
	public static Optional<List<JsonNode>> undo(List<JsonNode> items, List<ItemChange> changes) {
		Map<String, JsonNode> result = byName(items);
		for (ItemChange change : changes) {
			if (!Optional.ofNullable(result.get(change.name())).equals(change.after())) {
				return Optional.empty();
			}
			change.before()
				.ifPresentOrElse((item) -> result.put(change.name(), item), () -> result.remove(change.name()));
		}
		return Optional.of(List.copyOf(result.values()));
	}

	private static Map<String, JsonNode> byName(List<JsonNode> items) {
		Map<String, JsonNode> itemsByName = new LinkedHashMap<>();
		items.forEach((item) -> itemsByName.put(item.path("name").asText(), item));
		return itemsByName;
	}

}
