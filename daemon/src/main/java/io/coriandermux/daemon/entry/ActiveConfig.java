package io.coriandermux.daemon.entry;

import java.util.List;
import java.util.function.Consumer;

import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.TableParser;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.core.message.ConfigPush;
import io.coriandermux.core.table.Tables;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.store.KvSnapshot;

/**
 * Holds the configuration in force and replaces it only by a valid one with a higher
 * revision. Thread-safe.
 */
final class ActiveConfig {

	private final Object lock = new Object();

	private final TableParser parser = new TableParser();

	private final Consumer<Tables> onApplied;

	private final EventLog log;

	private volatile ConfigPush current = new ConfigPush(new Revision(0), List.of());

	private Revision refusedRevision = new Revision(0);

	ActiveConfig(Consumer<Tables> onApplied, EventLog log) {
		this.onApplied = onApplied;
		this.log = log;
	}

	ConfigPush current() {
		return this.current;
	}

	/**
	 * Applies a snapshot of the store if it is valid and newer. The revision of the
	 * snapshot is the highest one of its keys, because documents are never deleted.
	 * @param snapshot the keys of the configuration
	 */
	void offer(KvSnapshot snapshot) {
		List<ConfigDocument> documents = snapshot.entries()
			.stream()
			.map((entry) -> new ConfigDocument(entry.key(), new Revision(entry.revision()), entry.value()))
			.toList();
		long revision = documents.stream().mapToLong((document) -> document.revision().value()).max().orElse(0);
		offer(new ConfigPush(new Revision(revision), documents));
	}

	/**
	 * Applies a snapshot if it is valid and newer than the configuration in force.
	 * @param snapshot the documents of the configuration
	 */
	void offer(ConfigPush snapshot) {
		synchronized (this.lock) {
			if (snapshot.revision().compareTo(this.current.revision()) <= 0
					|| snapshot.revision().equals(this.refusedRevision)) {
				return;
			}
			String subject = "revision " + snapshot.revision().value();
			try {
				Tables tables = this.parser.parse(snapshot.revision(), snapshot.documents());
				this.current = snapshot;
				this.onApplied.accept(tables);
				this.log.record(LogEvent.TABLES_APPLIED, subject,
						tables.routes().size() + " routes, " + tables.pools().size() + " pools");
			}
			catch (InvalidTablesException ex) {
				this.refusedRevision = snapshot.revision();
				this.log.record(LogEvent.TABLES_REFUSED, subject, ex.getMessage());
			}
		}
	}

}
