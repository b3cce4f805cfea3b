package io.coriandermux.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.coriandermux.config.ConfigKeys;
import io.coriandermux.core.entry.HomesRead;
import io.coriandermux.core.entry.HomesWriteRefused;
import io.coriandermux.core.entry.StoreUnavailable;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.Announcer;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.run.StoreValueReader;
import io.coriandermux.daemon.run.StoreValues;
import io.coriandermux.daemon.run.StoreWatch;
import io.coriandermux.daemon.run.Worker;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreConflictException;
import io.coriandermux.store.StoreException;

/**
 * Store access of an entry: watches the configuration, the home table and the
 * announcements, writes the home table, and keeps the announcement of this entry.
 */
final class EntryStore implements AutoCloseable {

	private static final long ANNOUNCEMENT_TTL_MILLIS = 10_000;

	private final ProcessContext context;

	private final StoreClient store;

	private final EntryStoreListener listener;

	private final Worker worker;

	private final StoreValueReader<EntryInfo> entries;

	private final StoreValueReader<GuardInfo> guards;

	private final Announcer announcer;

	private final List<StoreWatch> watches = new ArrayList<>();

	private final ActiveConfig config;

	EntryStore(ProcessContext context, EntryInfo self, ActiveConfig config, EntryStoreListener listener)
			throws StoreException {
		this.context = context;
		this.worker = new Worker("store", context.health());
		this.entries = new StoreValueReader<>(StoreValues::decodeEntry, context.log(), context.metrics());
		this.guards = new StoreValueReader<>(StoreValues::decodeGuard, context.log(), context.metrics());
		this.store = context.createStoreClient();
		this.listener = listener;
		this.config = config;
		this.announcer = new Announcer(this.store, StoreValues.encode(self), ANNOUNCEMENT_TTL_MILLIS, (earlier) -> {
		}, () -> {
		}, context.log(), context.health());
	}

	void start() {
		this.announcer.start();
		watch(ConfigKeys.PREFIX, this.config::offer);
		watch(StoreValues.HOMES,
				(snapshot) -> decodeHomes(snapshot).ifPresent((homes) -> this.listener.onEvent(new HomesRead(homes))));
		watch(StoreValues.ENTRIES, (snapshot) -> this.listener.onEntriesListed(this.entries.read(snapshot)));
		watch(StoreValues.GUARDS, (snapshot) -> this.listener.onGuardsListed(this.guards.read(snapshot), 0));
	}

	/**
	 * Executes work on the store thread, such as applying a configuration that another
	 * entry sent. Drops the work if the queue of the thread is full.
	 * @param work the work
	 */
	void execute(Runnable work) {
		if (!this.worker.offer(work)) {
			this.context.metrics().count("store.dropped");
		}
	}

	void listGuards(long request) {
		call(() -> this.listener.onGuardsListed(this.guards.read(this.store.readPrefix(StoreValues.GUARDS)), request));
	}

	void writeHomes(HomeTable next) {
		call(() -> {
			try {
				long revision = this.store.put(StoreValues.HOMES, StoreValues.encode(next), next.revision().value(),
						Optional.empty());
				this.listener.onEvent(new HomesRead(
						new HomeTable(new Revision(revision), next.members(), next.homes(), next.epochs())));
			}
			catch (StoreConflictException ex) {
				Optional<HomeTable> stored = decodeHomes(new KvSnapshot(ex.revision(),
						ex.value()
							.map((value) -> List.of(new KvEntry(StoreValues.HOMES, value, ex.revision())))
							.orElse(List.of())));
				stored.ifPresent((homes) -> this.listener.onEvent(new HomesWriteRefused(homes)));
			}
		});
	}

	@Override
	public void close() {
		this.watches.forEach(StoreWatch::close);
		this.announcer.close();
		this.worker.close();
		this.store.close();
	}

	private void watch(String prefix, Consumer<KvSnapshot> receiver) {
		this.watches.add(new StoreWatch(this.store, prefix, StoreWatch.DEFAULT_WAIT_MILLIS, receiver,
				() -> this.listener.onEvent(new StoreUnavailable()), this.context.health()));
	}

	private void call(StoreCall call) {
		boolean accepted = this.worker.offer(() -> {
			try {
				call.run();
				this.context.health().onResponse();
			}
			catch (StoreException ex) {
				this.context.health().onCallFailed(ex);
				this.listener.onEvent(new StoreUnavailable());
			}
		});
		if (!accepted) {
			this.listener.onEvent(new StoreUnavailable());
		}
	}

	private Optional<HomeTable> decodeHomes(KvSnapshot snapshot) {
		Optional<KvEntry> entry = snapshot.entry(StoreValues.HOMES);
		if (entry.isEmpty()) {
			return Optional.of(HomeTable.EMPTY);
		}
		try {
			return Optional.of(StoreValues.decodeHomes(entry.get()));
		}
		catch (MalformedValueException ex) {
			this.context.log().record(LogEvent.VALUE_MALFORMED, entry.get().key(), ex.getMessage());
			this.context.metrics().count(StoreValueReader.MALFORMED_COUNTER);
			return Optional.empty();
		}
	}

	/**
	 * A call to the store.
	 */
	@FunctionalInterface
	private interface StoreCall {

		void run() throws StoreException;

	}

}
