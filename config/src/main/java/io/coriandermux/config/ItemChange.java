package io.coriandermux.config;

import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Change of a single route or pool.
 *
 * @param name the name of the item
 * @param before the item before the change, empty if it was added
 * @param after the item after the change, empty if it was removed
 */
public record ItemChange(String name, Optional<JsonNode> before, Optional<JsonNode> after) {

	/**
	 * Returns the kind of the change.
	 * @return {@code added}, {@code removed} or {@code changed}
	 */
	public String kind() {
		if (this.before.isEmpty()) {
			return "added";
		}
		return this.after.isPresent() ? "changed" : "removed";
	}

	/**
	 * Returns the JSON form.
	 * @return an object with the name, and with the item before and after the change
	 * where present
	 */
	public ObjectNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode().put("name", this.name);
		this.before.ifPresent((item) -> node.set("before", item));
		this.after.ifPresent((item) -> node.set("after", item));
		return node;
	}

	/**
	 * Reads the JSON form.
	 * @param node the object
	 * @return the change
	 */
	public static ItemChange of(JsonNode node) {
		return new ItemChange(node.path("name").asText(), Optional.ofNullable(node.get("before")),
				Optional.ofNullable(node.get("after")));
	}

	/**
	 * Returns the change as text.
	 * @return a line with kind and name, then one line each for the item before and after
	 */
	@Override
	public String toString() {
		StringBuilder text = new StringBuilder(kind()).append(' ').append(this.name);
		this.before.ifPresent((item) -> text.append("\n  - ").append(item));
		this.after.ifPresent((item) -> text.append("\n  + ").append(item));
		return text.toString();
	}

}
