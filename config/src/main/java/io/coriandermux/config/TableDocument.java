package io.coriandermux.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.core.id.OwnerId;

/**
 * An owner's routes or pools as stored, with the audit records.
 *
 * @param kind the kind of the table
 * @param owner the owner
 * @param revision the revision of the last write, 0 if the document does not exist
 * @param identity the identity of the last edit
 * @param items the routes or pools as JSON objects
 * @param audit the audit records, oldest first
 */
public record TableDocument(TableKind kind, OwnerId owner, long revision, EditIdentity identity, List<JsonNode> items,
		List<AuditRecord> audit) {

	private static final EditIdentity NO_EDIT = new EditIdentity("", "", "");

	/**
	 * Returns an empty document for an owner that has no stored one yet.
	 * @param kind the kind of the table
	 * @param owner the owner
	 * @return the document
	 */
	public static TableDocument absent(TableKind kind, OwnerId owner) {
		return new TableDocument(kind, owner, 0, NO_EDIT, List.of(), List.of());
	}

	/**
	 * Reads a stored document.
	 * @param kind the kind of the table
	 * @param owner the owner
	 * @param revision the revision of the last write
	 * @param json the stored text
	 * @return the document
	 * @throws InvalidTablesException if the text is not JSON with a list of items
	 */
	public static TableDocument of(TableKind kind, OwnerId owner, long revision, String json)
			throws InvalidTablesException {
		JsonNode root = JsonDocuments.parse(kind.key(owner), json);
		List<JsonNode> items = JsonDocuments.items(kind.key(owner), kind.field(), root);
		List<AuditRecord> audit = new ArrayList<>();
		root.path("audit").forEach((node) -> audit.add(AuditRecord.of(node)));
		EditIdentity identity = EditIdentity.of(root);
		fillLastRevision(audit, identity, revision);
		return new TableDocument(kind, owner, revision, identity, items, List.copyOf(audit));
	}

	/**
	 * Returns the audit record of an edit.
	 * @param editId the edit id
	 * @return the record, or empty if the document has no record of the edit
	 */
	public Optional<AuditRecord> auditRecord(String editId) {
		return this.audit.stream().filter((record) -> record.identity().editId().equals(editId)).findFirst();
	}

	/**
	 * Returns the text that is stored.
	 * @return the JSON text
	 */
	public String toJson() {
		ObjectNode node = JsonNodeFactory.instance.objectNode().put("owner", this.owner.value());
		this.identity.writeTo(node);
		ArrayNode list = node.putArray(this.kind.field());
		this.items.forEach(list::add);
		ArrayNode records = node.putArray("audit");
		this.audit.forEach((record) -> records.add(record.toJson()));
		return node.toString();
	}

	// The store assigns the revision with the write, so the last record lacks it.
	private static void fillLastRevision(List<AuditRecord> audit, EditIdentity identity, long revision) {
		int last = audit.size() - 1;
		if (last >= 0 && audit.get(last).identity().editId().equals(identity.editId())) {
			audit.set(last, audit.get(last).withToRevision(revision));
		}
	}

}
