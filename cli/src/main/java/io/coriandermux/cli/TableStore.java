package io.coriandermux.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.AuditRecord;
import io.coriandermux.config.ConfigKeys;
import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.ItemChange;
import io.coriandermux.config.PlannedEdit;
import io.coriandermux.config.TableDiff;
import io.coriandermux.config.TableDocument;
import io.coriandermux.config.TableKind;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreConflictException;
import io.coriandermux.store.StoreException;
import io.coriandermux.store.StoreUnavailableException;

/**
 * Reads and writes the table documents in the store.
 */
final class TableStore implements AutoCloseable {

	private static final int MAX_ATTEMPTS = 4;

	private static final long RETRY_DELAY_MILLIS = 250;

	private final StoreClient client;

	private final Sleeper sleeper;

	TableStore(StoreClient client, Sleeper sleeper) {
		this.client = client;
		this.sleeper = sleeper;
	}

	/**
	 * Reads all table documents.
	 * @return the documents
	 * @throws StoreException if the store does not answer
	 */
	List<ConfigDocument> readAll() throws StoreException {
		return this.client.readPrefix(ConfigKeys.PREFIX)
			.entries()
			.stream()
			.map((entry) -> new ConfigDocument(entry.key(), new Revision(entry.revision()), entry.value()))
			.toList();
	}

	/**
	 * Returns an owner's document.
	 * @param documents all documents
	 * @param kind the table
	 * @param owner the owner
	 * @return the document, or an absent document if the store has none
	 * @throws InvalidTablesException if the document is malformed
	 */
	static TableDocument document(List<ConfigDocument> documents, TableKind kind, OwnerId owner)
			throws InvalidTablesException {
		for (ConfigDocument document : documents) {
			if (document.key().equals(kind.key(owner))) {
				return TableDocument.of(kind, owner, document.revision().value(), document.json());
			}
		}
		return TableDocument.absent(kind, owner);
	}

	/**
	 * Writes an edit. If an answer is lost, the same compare-and-swap is retried: either
	 * it succeeds now, or it conflicts with a document whose audit records show by the
	 * edit id whether an earlier attempt succeeded.
	 * @param plan the edit
	 * @return the result
	 * @throws CliException if another edit was written first, or the effect is unknown
	 * @throws StoreException if no attempt reached the store, or the store rejects the
	 * edit
	 * @throws InvalidTablesException if the document in the store is malformed
	 * @throws InterruptedException if the thread is interrupted
	 */
	EditResult write(PlannedEdit plan)
			throws CliException, StoreException, InvalidTablesException, InterruptedException {
		TableDocument edited = plan.edited();
		String key = edited.kind().key(edited.owner());
		boolean possiblySent = false;
		for (int attempt = 1;; attempt++) {
			try {
				return new EditResult(this.client.put(key, edited.toJson(), plan.base().revision(), Optional.empty()),
						possiblySent);
			}
			catch (StoreConflictException ex) {
				return resolveConflict(plan, ex);
			}
			catch (StoreUnavailableException ex) {
				possiblySent = possiblySent || ex.isPossiblySent();
				if (attempt == MAX_ATTEMPTS && !possiblySent) {
					throw ex;
				}
				if (attempt == MAX_ATTEMPTS) {
					throw effectUnknown(plan, ex);
				}
				this.sleeper.sleep(RETRY_DELAY_MILLIS * attempt);
			}
		}
	}

	@Override
	public void close() {
		this.client.close();
	}

	private static EditResult resolveConflict(PlannedEdit plan, StoreConflictException ex)
			throws CliException, InvalidTablesException {
		TableKind kind = plan.base().kind();
		OwnerId owner = plan.base().owner();
		TableDocument current = ex.value().isPresent() ? TableDocument.of(kind, owner, ex.revision(), ex.value().get())
				: TableDocument.absent(kind, owner);
		Optional<AuditRecord> ownRecord = current.auditRecord(plan.edited().identity().editId());
		if (ownRecord.isPresent()) {
			return new EditResult(ownRecord.get().toRevision(), true);
		}
		throw conflict(plan, current);
	}

	/**
	 * Creates the exception for a conflict, with the changes of both sides.
	 * @param plan the edit of this command
	 * @param current the document in the store
	 * @return the exception
	 */
	static CliException conflict(PlannedEdit plan, TableDocument current) {
		List<ItemChange> theirs = TableDiff.between(plan.base().items(), current.items());
		List<AuditRecord> recordsSinceBase = current.audit()
			.stream()
			.filter((record) -> record.fromRevision() >= plan.base().revision())
			.toList();
		ObjectNode details = JsonNodeFactory.instance.objectNode()
			.put("baseRevision", plan.base().revision())
			.put("currentRevision", current.revision());
		addChanges(details.putArray("yours"), plan.difference());
		addChanges(details.putArray("theirs"), theirs);
		ArrayNode theirEdits = details.putArray("theirEdits");
		recordsSinceBase.forEach((record) -> record.identity().writeTo(theirEdits.addObject()));
		List<String> lines = new ArrayList<>();
		lines.add("your edit is based on revision " + plan.base().revision() + ", but the document is at revision "
				+ current.revision() + "; nothing was written");
		recordsSinceBase.forEach((record) -> lines
			.add("edited by " + record.identity().editor() + " at " + record.identity().editedAt()));
		lines.add("their changes:");
		theirs.forEach((change) -> lines.add(change.toString()));
		lines.add("your changes:");
		plan.difference().forEach((change) -> lines.add(change.toString()));
		return new CliException(ExitCode.CONFLICT, String.join("\n", lines), details);
	}

	static void addChanges(ArrayNode list, List<ItemChange> changes) {
		changes.forEach((change) -> list.add(change.toJson().put("kind", change.kind())));
	}

	private static CliException effectUnknown(PlannedEdit plan, StoreUnavailableException ex) {
		String id = plan.edited().identity().editId();
		return new CliException(ExitCode.EFFECT_UNKNOWN,
				"the store did not answer, so it is unknown if the edit was written; when the store answers again, "
						+ "look for it with \"history --edit " + id + "\" (" + ex.getMessage() + ")",
				JsonNodeFactory.instance.objectNode().put("editId", id));
	}

}
