package io.coriandermux.daemon.run;

import java.time.Clock;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.coriandermux.daemon.batch.MemoryStore;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.Store;
import io.coriandermux.store.StoreException;
import io.coriandermux.wire.SystemTime;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that silently loses its announcement, or receives no more
 * changes of the store, because one unexpected response of the store ended a thread.
 */
class StoreThreadTests {

	private final EventLog log = new EventLog("entry", new SystemTime(Clock.systemUTC()));

	private final StoreHealth health = new StoreHealth(this.log);

	private final FirstReadFailsStore store = new FirstReadFailsStore();

	@Example
	void watchContinuesAfterUnexpectedException() throws InterruptedException, StoreException {
		this.store.put("a/b", "v", 0, Optional.empty());
		LinkedBlockingQueue<KvSnapshot> received = new LinkedBlockingQueue<>();
		StoreWatch watch = new StoreWatch(this.store, "a/", 1_000, received::add, () -> {
		}, this.health);
		KvSnapshot snapshot = received.poll(60, TimeUnit.SECONDS);
		watch.close();
		assertThat(snapshot.entries()).extracting(KvEntry::value).containsExactly("v");
		assertThat(unexpectedExceptions()).hasSize(1);
	}

	@Example
	void announcementIsWrittenAfterUnexpectedException() throws InterruptedException {
		CountDownLatch announced = new CountDownLatch(1);
		try (Announcer announcer = new Announcer(this.store, new KvEntry("a/self", "v", 0), 6_000, (earlier) -> {
		}, announced::countDown, this.log, this.health)) {
			announcer.start();
			assertThat(announced.await(60, TimeUnit.SECONDS)).isTrue();
		}
		assertThat(unexpectedExceptions()).hasSize(1);
	}

	// Guards against a process that follows no later change, because one made the
	// receiver fail, be it with an error such as a stack overflow.
	@Example
	void watchContinuesAfterItsReceiverFailed() throws InterruptedException, StoreException {
		this.store.memory.put("a/b", "v", 0, Optional.empty());
		LinkedBlockingQueue<KvSnapshot> received = new LinkedBlockingQueue<>();
		StoreWatch watch = new StoreWatch(this.store, "a/", 1_000, (snapshot) -> {
			received.add(snapshot);
			if (snapshot.entries().size() == 1) {
				throw new StackOverflowError("error of this test");
			}
		}, () -> {
		}, this.health);
		assertThat(received.poll(20, TimeUnit.SECONDS).entries()).hasSize(1);
		this.store.memory.put("a/c", "w", 0, Optional.empty());
		KvSnapshot second = received.poll(20, TimeUnit.SECONDS);
		watch.close();
		assertThat(second).isNotNull();
		assertThat(unexpectedExceptions()).hasSize(2);
	}

	// Guards against a process that is never announced, because another writer stored a
	// value under its key that makes the receiver fail.
	@Example
	void announcementIsWrittenAlthoughTheEarlierValueMakesItsReceiverFail()
			throws InterruptedException, StoreException {
		this.store.memory.put("a/self", "odd", 0, Optional.empty());
		CountDownLatch announced = new CountDownLatch(1);
		try (Announcer announcer = new Announcer(this.store, new KvEntry("a/self", "v", 0), 6_000, (earlier) -> {
			throw new StackOverflowError("error of this test");
		}, announced::countDown, this.log, this.health)) {
			announcer.start();
			assertThat(announced.await(20, TimeUnit.SECONDS)).isTrue();
			assertThat(this.store.memory.readPrefix("a/self").entries()).extracting(KvEntry::value)
				.containsExactly("v");
		}
		assertThat(unexpectedExceptions()).hasSize(2);
	}

	// Guards against an announcement that expires although its process lives: each change
	// of the value delayed the next renewal, so a value that changed every 2 s kept the
	// lease from being renewed.
	@Example
	void leaseIsRenewedWhenTheAnnouncementChanges() throws InterruptedException {
		CountDownLatch announced = new CountDownLatch(1);
		try (Announcer announcer = new Announcer(this.store, new KvEntry("a/self", "v", 0), 180_000, (earlier) -> {
		}, announced::countDown, this.log, this.health)) {
			announcer.start();
			assertThat(announced.await(60, TimeUnit.SECONDS)).isTrue();
			announcer.update("w");
			assertThat(this.store.renewed.await(20, TimeUnit.SECONDS)).isTrue();
		}
	}

	private List<String> unexpectedExceptions() {
		return this.log.recentEvents()
			.stream()
			.filter((event) -> event.number() == LogEvent.STORE_CALLER_FAILED.number())
			.map(RecentEvent::detail)
			.toList();
	}

	/**
	 * A store whose first read throws an unexpected exception.
	 */
	private static final class FirstReadFailsStore implements Store {

		private final MemoryStore memory = new MemoryStore();

		private final AtomicBoolean hasFailed = new AtomicBoolean();

		private final CountDownLatch renewed = new CountDownLatch(1);

		@Override
		public KvSnapshot readPrefix(String prefix) {
			if (this.hasFailed.compareAndSet(false, true)) {
				throw new IllegalStateException("first read fails in this test");
			}
			return this.memory.readPrefix(prefix);
		}

		@Override
		public KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) {
			return this.memory.watch(prefix, known, waitMillis);
		}

		@Override
		public long put(String key, String value, long expected, Optional<Long> lease) throws StoreException {
			return this.memory.put(key, value, expected, lease);
		}

		@Override
		public long delete(String key, long expected) throws StoreException {
			return this.memory.delete(key, expected);
		}

		@Override
		public long grantLease(long ttlMillis) {
			return this.memory.grantLease(ttlMillis);
		}

		@Override
		public void renewLease(long lease) {
			this.memory.renewLease(lease);
			this.renewed.countDown();
		}

		@Override
		public void close() {
			this.memory.close();
		}

	}

}
