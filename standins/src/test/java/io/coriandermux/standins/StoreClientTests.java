package io.coriandermux.standins;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreConflictException;
import io.coriandermux.store.StoreException;
import io.coriandermux.store.StoreLeaseExpiredException;
import io.coriandermux.store.StoreRejectedException;
import io.coriandermux.store.StoreUnavailableException;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against a store client that reports a write as applied or as not applied without
 * knowing it.
 */
class StoreClientTests {

	private final ManualClock clock = new ManualClock();

	private final StoreStandIn store = StoreStandIn.start(0, this.clock);

	private final StoreClient client = client(this.store.url());

	@AfterTry
	void close() {
		this.client.close();
		this.store.close();
	}

	@Example
	void readPrefixReturnsWrittenKeysInOrder() throws StoreException {
		long second = this.client.put("/a/2", "zwei ü", 0, Optional.empty());
		long first = this.client.put("/a/1", "{}", 0, Optional.empty());
		this.client.put("/b", "", 0, Optional.empty());
		assertThat(this.client.readPrefix("/a/")).isEqualTo(new KvSnapshot(first,
				List.of(new KvEntry("/a/1", "{}", first), new KvEntry("/a/2", "zwei ü", second))));
	}

	@Example
	void writeAtAStaleRevisionReportsTheCurrentOne() throws StoreException {
		long revision = this.client.put("/k", "one", 0, Optional.empty());
		StoreConflictException ex = catchThrowableOfType(StoreConflictException.class,
				() -> this.client.put("/k", "two", 0, Optional.empty()));
		assertThat(ex.revision()).isEqualTo(revision);
		assertThat(ex.value()).contains("one");
		assertThatExceptionOfType(StoreConflictException.class).isThrownBy(() -> this.client.delete("/k", 77));
		this.client.delete("/k", revision);
		assertThat(this.client.readPrefix("/k").entries()).isEmpty();
	}

	@Example
	void lostWriteAnswerIsReportedAsSentAndUnconfirmed() throws StoreException {
		this.store.setFaults(StoreFaults.lostAnswers(1));
		StoreUnavailableException ex = catchThrowableOfType(StoreUnavailableException.class,
				() -> this.client.put("/k", "one", 0, Optional.empty()));
		assertThat(ex.isPossiblySent()).isTrue();
		assertThat(this.client.readPrefix("/k").entry("/k")).isPresent();
	}

	@Example
	void callsFailDuringAnOutageAndSucceedAfterIt() throws StoreException {
		this.store.setFaults(StoreFaults.outage());
		assertThatExceptionOfType(StoreUnavailableException.class).isThrownBy(() -> this.client.readPrefix("/"));
		this.store.setFaults(StoreFaults.NONE);
		assertThat(this.client.readPrefix("/").revision()).isZero();
	}

	@Example
	void unreachableStoreIsSkippedAndItsWritesAreReportedAsNotSent() throws StoreException {
		StoreStandIn stopped = StoreStandIn.start(0, this.clock);
		URI closed = stopped.url();
		stopped.close();
		try (StoreClient failover = client(closed, this.store.url()); StoreClient unreachable = client(closed)) {
			assertThat(failover.put("/k", "one", 0, Optional.empty())).isEqualTo(1);
			StoreUnavailableException ex = catchThrowableOfType(StoreUnavailableException.class,
					() -> unreachable.put("/k", "two", 1, Optional.empty()));
			assertThat(ex.isPossiblySent()).isFalse();
		}
	}

	@Example
	void callToAnUnresponsiveStoreTimesOut() throws StoreException {
		this.store.setFaults(StoreFaults.unresponsive());
		try (StoreClient impatient = new StoreClient(List.of(this.store.url()), Duration.ofMillis(50))) {
			StoreUnavailableException ex = catchThrowableOfType(StoreUnavailableException.class,
					() -> impatient.put("/k", "one", 0, Optional.empty()));
			assertThat(ex).hasMessageContaining("/v1/kv");
		}
	}

	@Example
	void keysAreRemovedWhenTheirLeaseExpires() throws StoreException {
		long lease = this.client.grantLease(1000);
		this.client.put("/guards/g", "{}", 0, Optional.of(lease));
		this.clock.advance(900);
		this.client.renewLease(lease);
		this.clock.advance(900);
		assertThat(this.client.readPrefix("/guards/").entries()).hasSize(1);
		this.clock.advance(101);
		assertThat(this.client.readPrefix("/guards/").entries()).isEmpty();
		assertThatExceptionOfType(StoreLeaseExpiredException.class).isThrownBy(() -> this.client.renewLease(lease));
		assertThatExceptionOfType(StoreLeaseExpiredException.class)
			.isThrownBy(() -> this.client.put("/guards/g", "{}", 0, Optional.of(lease)));
	}

	@Example
	void watchReportsWritesAndExpiredKeys() throws StoreException {
		long lease = this.client.grantLease(1000);
		CompletableFuture<KvSnapshot> written = watch(0);
		long revision = this.client.put("/guards/g", "{}", 0, Optional.of(lease));
		assertThat(written.join().revision()).isEqualTo(revision);
		CompletableFuture<KvSnapshot> expired = watch(revision);
		this.clock.advance(1000);
		assertThat(expired.join().entries()).isEmpty();
		assertThat(this.client.watch("/guards/", snapshotAt(Long.MAX_VALUE / 100), 1).entries()).isEmpty();
	}

	@Example
	void valueAboveTheSizeLimitIsRejected() {
		assertThatExceptionOfType(StoreRejectedException.class)
			.isThrownBy(() -> this.client.put("/k", "x".repeat(1_000_001), 0, Optional.empty()))
			.withMessageContaining("413");
	}

	@Example
	void callsAreCounted() throws StoreException {
		this.client.put("/k", "one", 0, Optional.empty());
		this.client.readPrefix("/");
		this.client.watch("/", snapshotAt(0), 1);
		this.client.renewLease(this.client.grantLease(10));
		assertThat(this.store.callCounts()).isEqualTo(new StoreCallCounts(1, 1, 2, 1));
	}

	private static KvSnapshot snapshotAt(long revision) {
		return new KvSnapshot(revision, List.of());
	}

	private CompletableFuture<KvSnapshot> watch(long after) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.client.watch("/guards/", snapshotAt(after), 30_000);
			}
			catch (StoreException ex) {
				throw new AssertionError(ex);
			}
		});
	}

	private static StoreClient client(URI... urls) {
		try {
			return new StoreClient(List.of(urls), Duration.ofSeconds(20));
		}
		catch (StoreUnavailableException ex) {
			throw new AssertionError(ex);
		}
	}

}
