package io.coriandermux.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;

/**
 * Plans edits: builds the edited document with its audit record and validates it together
 * with all other documents.
 */
public final class TableEditor {

	/** Maximum number of audit records in a document. */
	public static final int MAX_AUDIT_RECORDS = 50;

	private final TableParser parser = new TableParser();

	/**
	 * Plans an edit. The oldest audit records are dropped if there are too many of them
	 * or the document would exceed its size limit.
	 * @param documents all documents in the store
	 * @param base the document to edit: one of the documents, or an absent one
	 * @param items the new items
	 * @param identity the identity of the edit
	 * @return the planned edit
	 * @throws InvalidTablesException if the documents break a rule after the edit
	 */
	public PlannedEdit plan(List<ConfigDocument> documents, TableDocument base, List<JsonNode> items,
			EditIdentity identity) throws InvalidTablesException {
		List<ItemChange> difference = TableDiff.between(base.items(), items);
		List<AuditRecord> audit = new ArrayList<>(base.audit());
		audit.add(new AuditRecord(identity, base.revision(), 0, difference));
		List<AuditRecord> dropped = new ArrayList<>();
		while (audit.size() > MAX_AUDIT_RECORDS) {
			dropped.add(audit.remove(0));
		}
		TableDocument edited = createDocument(base, items, identity, audit);
		while (audit.size() > 1 && !isWithinSizeLimit(edited)) {
			dropped.add(audit.remove(0));
			edited = createDocument(base, items, identity, audit);
		}
		this.parser.parse(new Revision(0), replaceDocument(documents, edited));
		return new PlannedEdit(base, edited, difference, List.copyOf(dropped));
	}

	/**
	 * Reconstructs the items of an earlier revision by undoing the audited edits.
	 * @param document the document
	 * @param revision the earlier revision, 0 for the state before the first edit
	 * @return the items, or empty if the audit records do not reach back to it
	 */
	public static Optional<List<JsonNode>> itemsAt(TableDocument document, long revision) {
		List<JsonNode> items = document.items();
		long itemsRevision = document.revision();
		for (int i = document.audit().size() - 1; itemsRevision != revision; i--) {
			if (i < 0 || document.audit().get(i).toRevision() != itemsRevision) {
				return Optional.empty();
			}
			AuditRecord record = document.audit().get(i);
			Optional<List<JsonNode>> earlier = TableDiff.undo(items, record.difference());
			if (earlier.isEmpty()) {
				return Optional.empty();
			}
			items = earlier.get();
			itemsRevision = record.fromRevision();
		}
		return Optional.of(items);
	}

	private static TableDocument createDocument(TableDocument base, List<JsonNode> items, EditIdentity identity,
			List<AuditRecord> audit) {
		return new TableDocument(base.kind(), base.owner(), base.revision(), identity, items, List.copyOf(audit));
	}

	private static boolean isWithinSizeLimit(TableDocument document) {
		return document.toJson().getBytes(StandardCharsets.UTF_8).length <= TableParser.MAX_DOCUMENT_BYTES;
	}

	private static List<ConfigDocument> replaceDocument(List<ConfigDocument> documents, TableDocument edited) {
		String key = edited.kind().key(edited.owner());
		List<ConfigDocument> result = new ArrayList<>(documents);
		result.removeIf((document) -> document.key().equals(key));
		result.add(new ConfigDocument(key, new Revision(edited.revision()), edited.toJson()));
		return result;
	}

}
