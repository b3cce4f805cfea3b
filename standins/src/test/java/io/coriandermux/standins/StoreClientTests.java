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
 * Guards against a store client that claims an effect it cannot know, or hides one.
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
	void writtenKeysAreReadBackInOrder() throws StoreException {
		long second = this.client.put("/a/2", "zwei ü", 0, Optional.empty());
		long first = this.client.put("/a/1", "{}", 0, Optional.empty());
		this.client.put("/b", "", 0, Optional.empty());
		assertThat(this.client.readPrefix("/a/")).isEqualTo(new KvSnapshot(first,
				List.of(new KvEntry("/a/1", "{}", first), new KvEntry("/a/2", "zwei ü", second))));
	}

	@Example
	void writeAtAnOldRevisionReportsTheCurrentOne() throws StoreException {
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
	void lostWriteAnswerIsReportedAsUnknownThoughTheKeyIsWritten() throws StoreException {
		this.store.faults(StoreFaults.lostAnswers(1));
		StoreUnavailableException ex = catchThrowableOfType(StoreUnavailableException.class,
				() -> this.client.put("/k", "one", 0, Optional.empty()));
		assertThat(ex.isPossiblySent()).isTrue();
		assertThat(this.client.readPrefix("/k").entry("/k")).isPresent();
	}

	@Example
	void outageIsReportedAndEnds() throws StoreException {
		this.store.faults(StoreFaults.outage());
		assertThatExceptionOfType(StoreUnavailableException.class).isThrownBy(() -> this.client.readPrefix("/"));
		this.store.faults(StoreFaults.NONE);
		assertThat(this.client.readPrefix("/").revision()).isZero();
	}

	@Example
	void unreachableStoreIsSkippedAndItsWritesCertainlyHadNoEffect() throws StoreException {
		StoreStandIn gone = StoreStandIn.start(0, this.clock);
		URI closed = gone.url();
		gone.close();
		try (StoreClient both = client(closed, this.store.url()); StoreClient none = client(closed)) {
			assertThat(both.put("/k", "one", 0, Optional.empty())).isEqualTo(1);
			StoreUnavailableException ex = catchThrowableOfType(StoreUnavailableException.class,
					() -> none.put("/k", "two", 1, Optional.empty()));
			assertThat(ex.isPossiblySent()).isFalse();
		}
	}

	@Example
	void silentStoreEndsTheCallAtItsTimeLimit() throws StoreException {
		this.store.faults(StoreFaults.silence());
		try (StoreClient hasty = new StoreClient(List.of(this.store.url()), Duration.ofMillis(50))) {
			StoreUnavailableException ex = catchThrowableOfType(StoreUnavailableException.class,
					() -> hasty.put("/k", "one", 0, Optional.empty()));
			assertThat(ex).hasMessageContaining("/v1/kv");
		}
	}

	@Example
	void lapsedLeaseTakesItsKeysAlong() throws StoreException {
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
	void watchReportsWritesAndLapsedKeys() throws StoreException {
		long lease = this.client.grantLease(1000);
		CompletableFuture<KvSnapshot> written = watch(0);
		long revision = this.client.put("/guards/g", "{}", 0, Optional.of(lease));
		assertThat(written.join().revision()).isEqualTo(revision);
		CompletableFuture<KvSnapshot> lapsed = watch(revision);
		this.clock.advance(1000);
		assertThat(lapsed.join().entries()).isEmpty();
		assertThat(this.client.watch("/guards/", known(Long.MAX_VALUE / 100), 1).entries()).isEmpty();
	}

	@Example
	void overLargeValueIsRejected() {
		assertThatExceptionOfType(StoreRejectedException.class)
			.isThrownBy(() -> this.client.put("/k", "x".repeat(1_000_001), 0, Optional.empty()))
			.withMessageContaining("413");
	}

	@Example
	void callsAreCounted() throws StoreException {
		this.client.put("/k", "one", 0, Optional.empty());
		this.client.readPrefix("/");
		this.client.watch("/", known(0), 1);
		this.client.renewLease(this.client.grantLease(10));
		assertThat(this.store.calls()).isEqualTo(new StoreCalls(1, 1, 2, 1));
	}

	private static KvSnapshot known(long revision) {
		return new KvSnapshot(revision, List.of());
	}

	private CompletableFuture<KvSnapshot> watch(long after) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return this.client.watch("/guards/", known(after), 30_000);
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
