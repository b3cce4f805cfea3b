package io.coriandermux.config;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Audit record of an edit.
 *
 * @param identity the edit id, the editor and the time of the edit
 * @param fromRevision the revision of the document before the edit, 0 if it did not exist
 * @param toRevision the revision of the document after the edit, 0 if not yet known: the
 * store assigns it with the write, and the next read fills it in
 * @param difference the changes
 */
public record AuditRecord(EditIdentity identity, long fromRevision, long toRevision, List<ItemChange> difference) {

	/**
	 * Returns a copy of this record with the revision after the edit.
	 * @param revision the revision
	 * @return the copy
	 */
	public AuditRecord withToRevision(long revision) {
		return new AuditRecord(this.identity, this.fromRevision, revision, this.difference);
	}

	/**
	 * Returns the JSON form.
	 * @return the object
	 */
	public ObjectNode toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode();
		this.identity.writeTo(node);
		node.put("fromRevision", this.fromRevision);
		node.put("toRevision", this.toRevision);
		ArrayNode changes = node.putArray("difference");
		this.difference.forEach((change) -> changes.add(change.toJson()));
		return node;
	}

	/**
	 * Reads the JSON form.
	 * @param node the object
	 * @return the record
	 */
	public static AuditRecord of(JsonNode node) {
		List<ItemChange> changes = new ArrayList<>();
		node.path("difference").forEach((change) -> changes.add(ItemChange.of(change)));
		return new AuditRecord(EditIdentity.of(node), node.path("fromRevision").asLong(),
				node.path("toRevision").asLong(), List.copyOf(changes));
	}

}
