package io.coriandermux.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Identity of an edit. It shows whether an edit has taken effect if the store's answer
 * was lost.
 *
 * @param editId the unique id of the edit
 * @param editor the name of the editor
 * @param editedAt the time of the edit in ISO 8601 format, in UTC
 */
public record EditIdentity(String editId, String editor, String editedAt) {

	/**
	 * Reads the identity from a document or audit record.
	 * @param node the object
	 * @return the identity; a missing field is read as an empty string
	 */
	public static EditIdentity of(JsonNode node) {
		return new EditIdentity(node.path("editId").asText(), node.path("editor").asText(),
				node.path("editedAt").asText());
	}

	/**
	 * Writes the identity to a document or audit record.
	 * @param node the object
	 */
	public void writeTo(ObjectNode node) {
		node.put("editId", this.editId).put("editor", this.editor).put("editedAt", this.editedAt);
	}

}
