package io.coriandermux.daemon.batch;

import java.io.IOException;
import java.net.URI;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Counter;
import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchRoute;
import io.coriandermux.core.dispatch.BatchRouteTable;
import io.coriandermux.core.dispatch.BatchVerdict;
import io.coriandermux.core.dispatch.TaskGroup;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.lease.ActiveRun;
import io.coriandermux.core.lease.EndedRun;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointOrders;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.lease.LeaseTerms;
import io.coriandermux.core.lease.OrderResult;
import io.coriandermux.core.lease.Poll;
import io.coriandermux.core.lease.PollAnswer;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.settings.BatchEntrySettings;
import io.coriandermux.daemon.settings.BatchGuardSettings;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.store.Store;
import io.coriandermux.store.StoreException;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.SystemTime;
import io.coriandermux.wire.TimeSource;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an entry and a guard that do not discover each other, and against an
 * entry that stays without a configuration, with real links in one JVM.
 */
class BatchEndToEndTests {

	private static final String HOST = "127.0.0.1";

	private static final String CONFIG_KEY = "config";

	private static final PoolName POOL = new PoolName("orders");

	private static final ConfigSource CONFIG = new ConfigSource(CONFIG_KEY,
			(document) -> new BatchRouteTable(Long.parseLong(document),
					List.of(new BatchRoute(new RouteName("quotes"), "host", "/q/", POOL, 0, 2, 1.6, 60))));

	private final TimeSource time = new SystemTime(Clock.systemUTC());

	private final MemoryStore store = new MemoryStore();

	@Example
	void servesBatchesBeforeAndAfterARestartOfTheGuard() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		try (BatchEntryShell entry = entry("entry-1", this.store)) {
			try (BatchGuardShell guard = guard()) {
				assertThat(guard.onHeartbeat(report())).isTrue();
				await(() -> entry.gateway().isReady());
				assertThat(submit(entry, "b1").get().verdict()).isEqualTo(BatchVerdict.COMPLETED);
				assertThat(guard.context().metrics().registry().getGauges()).containsKey("sessions.unconfirmed");
				await(() -> this.store.readPrefix(AnnouncementFormat.PREFIX)
					.entries()
					.stream()
					.anyMatch((member) -> member.value().contains("\"born\":1")));
			}
			// The endpoint sends no further heartbeat: the restarted guard restores its
			// report from the store.
			try (BatchGuardShell restarted = guard()) {
				assertThat(submit(entry, "b2").get().verdict()).isEqualTo(BatchVerdict.COMPLETED);
				assertThat(restarted.hasFailed()).isFalse();
			}
		}
	}

	// Guards against entries that claim no batches, because the guards do not announce
	// that they know the messages for it.
	@Example
	void entriesAndGuardsAnnounceThatTheyKnowClaims() throws Exception {
		try (BatchEntryShell entry = entry("entry-1", this.store); BatchGuardShell guard = guard()) {
			await(() -> this.store.readPrefix(AnnouncementFormat.PREFIX).entries().size() == 2);
			assertThat(this.store.readPrefix(AnnouncementFormat.PREFIX).entries())
				.allMatch((member) -> member.value().contains("\"protocol\":3"));
			assertThat(entry.hasFailed() || guard.hasFailed()).isFalse();
		}
	}

	// Guards against claims and answers that do not pass between the processes, so that
	// no batch starts.
	@Example
	void claimsABatchAtTheGuardBeforeItStarts() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		try (BatchEntryShell entry = entry("entry-1", this.store); BatchGuardShell guard = guard()) {
			assertThat(guard.onHeartbeat(report())).isTrue();
			await(() -> entry.gateway().isReady());
			assertThat(submit(entry, "b1").get(30, TimeUnit.SECONDS).verdict()).isEqualTo(BatchVerdict.COMPLETED);
			assertThat(count(entry.context(), "sent.ClaimBatch")).isEqualTo(1);
			assertThat(count(guard.context(), "received.ClaimBatch")).isEqualTo(1);
			assertThat(count(guard.context(), "sent.ClaimAnswer")).isEqualTo(1);
			assertThat(count(entry.context(), "received.ClaimAnswer")).isEqualTo(1);
		}
	}

	// Guards against links that a guard of the previous version closes, because it is
	// sent a message that it does not know.
	@Example
	void claimsNothingAtAGuardOfThePreviousVersion() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		try (BatchEntryShell entry = entry("entry-1", new StoreOfPreviousVersion(this.store));
				BatchGuardShell guard = guard()) {
			assertThat(guard.onHeartbeat(report())).isTrue();
			await(() -> entry.gateway().isReady());
			assertThat(submit(entry, "b1").get(30, TimeUnit.SECONDS).verdict()).isEqualTo(BatchVerdict.COMPLETED);
			assertThat(count(guard.context(), "received.ClaimBatch")).isZero();
			assertThat(entry.context().log().recentEvents())
				.filteredOn((event) -> event.number() == LogEvent.LINK_UP.number())
				.hasSize(1);
		}
	}

	// Guards against a batch that stays with an entry that has ended.
	@Example
	void takesABatchOverFromAnEntryThatHasEnded() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		CountDownLatch stopped = new CountDownLatch(1);
		try (BatchEntryShell second = entry("entry-2", this.store);
				BatchGuardShell guard = guard((listener) -> new EndlessEndpoint(listener, stopped))) {
			assertThat(guard.onHeartbeat(report())).isTrue();
			try (BatchEntryShell first = entry("entry-1", this.store)) {
				await(() -> first.gateway().isReady() && second.gateway().isReady());
				submit(first, "b1");
				await(() -> count(guard.context(), "sent.ClaimAnswer") > 0);
				// A claim that is younger cannot be that of a caller that has come back.
				new CountDownLatch(1).await(1_300, TimeUnit.MILLISECONDS);
			}
			submit(second, "b1");
			await(() -> count(second.context(), "received.TakeOverAnswer") > 0);
			assertThat(count(guard.context(), "received.TakeOverBatch")).isEqualTo(1);
			assertThat(stopped.await(60, TimeUnit.SECONDS)).isTrue();
		}
	}

	private static long count(ProcessContext context, String messages) {
		return context.metrics().registry().counter("messages." + messages).getCount();
	}

	// Guards against runs that continue while their entry can't notice that their caller
	// has disconnected.
	@Example
	void stopsTheRunsOfAnEntryThatCannotCheckItsCallers() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		CountDownLatch stopped = new CountDownLatch(1);
		try (BatchEntryShell entry = entry("entry-1", this.store);
				BatchGuardShell guard = guard((listener) -> new EndlessEndpoint(listener, stopped))) {
			entry.gateway().checkCallersWith((onChecked) -> {
				// The thread that reads from the callers stands still.
			});
			assertThat(guard.onHeartbeat(report())).isTrue();
			await(() -> entry.gateway().isReady());
			submit(entry, "b1");
			assertThat(stopped.await(60, TimeUnit.SECONDS)).isTrue();
		}
	}

	// Guards against a batch that runs at two entries because the first one is not told
	// that its caller has given up.
	@Example
	void releasesABatchWhoseCallerHasSubmittedItToAnotherEntry() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		CountDownLatch stopped = new CountDownLatch(1);
		try (BatchEntryShell first = entry("entry-1", this.store);
				BatchEntryShell second = entry("entry-2", this.store);
				BatchGuardShell guard = guard((listener) -> new EndlessEndpoint(listener, stopped))) {
			assertThat(guard.onHeartbeat(report())).isTrue();
			await(() -> first.gateway().isReady() && second.gateway().isReady());
			Counter announcements = second.context().metrics().registry().counter("messages.received.HeldBatches");
			await(() -> announcements.getCount() > 0);
			long before = announcements.getCount();
			CompletableFuture<BatchAnswer> abandoned = submit(first, "b1");
			await(() -> announcements.getCount() > before);
			submit(second, "b1");
			assertThat(abandoned.get(60, TimeUnit.SECONDS).verdict()).isEqualTo(BatchVerdict.UNFINISHED);
			assertThat(stopped.await(60, TimeUnit.SECONDS)).isTrue();
		}
	}

	@Example
	void receivesTheConfigurationFromAnotherEntryIfTheStoreDoesNotDeliverIt() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		MemoryStore complete = this.store;
		StoreWithoutConfig incomplete = new StoreWithoutConfig(complete);
		try (BatchEntryShell first = entry("entry-1", complete);
				BatchEntryShell second = entry("entry-2", incomplete)) {
			await(() -> first.gateway().isConfigured() && second.gateway().isConfigured());
			assertThat(second.hasFailed()).isFalse();
		}
	}

	// Guards against a guard that ignores every report of its endpoint as stale, because
	// another writer stored one with a later start time or a higher sequence under the
	// key of the guard.
	@Example
	void servesAlthoughTheStoreHoldsAReportThatIsOutOfRange() throws Exception {
		String valid = "{\"address\":\"" + HOST
				+ "\",\"port\":1,\"incarnation\":1,\"endpoint\":{\"id\":\"i-1\",\"born\":1,"
				+ "\"sequence\":1,\"pool\":\"orders\",\"millicores\":0,\"memoryMb\":1,\"accelerators\":0,\"labels\":[]}}";
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		for (String odd : List.of(valid.replace("\"born\":1", "\"born\":" + Long.MAX_VALUE),
				valid.replace("\"born\":1", "\"born\":1e300"), valid.replace("\"born\":1", "\"born\":9007199254740991"),
				valid.replace("\"sequence\":1", "\"sequence\":" + Long.MAX_VALUE),
				valid.replace("\"millicores\":0", "\"millicores\":" + Long.MIN_VALUE))) {
			String key = AnnouncementFormat.PREFIX + "guard/guard-1";
			long revision = this.store.readPrefix(key).entry(key).map(KvEntry::revision).orElse(0L);
			this.store.put(key, odd, revision, Optional.empty());
			try (BatchGuardShell guard = guard(); BatchEntryShell entry = entry("entry-1", this.store)) {
				awaitEvent(guard, LogEvent.ANNOUNCED);
				awaitEvent(guard, LogEvent.VALUE_MALFORMED);
				assertThat(guard.onHeartbeat(report())).isTrue();
				awaitReady(entry);
				assertThat(submit(entry, "b").get(30, TimeUnit.SECONDS).verdict()).isEqualTo(BatchVerdict.COMPLETED);
			}
		}
	}

	// Guards against an entry that serves nothing, because another writer stored odd
	// entries among the announcements.
	@Example
	void servesAlthoughTheListHoldsOddAnnouncements() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		String prefix = AnnouncementFormat.PREFIX + "guard/";
		this.store.put(prefix + "a-deep", "[".repeat(100_000), 0, Optional.empty());
		this.store.put(prefix + "b-number", announcement(HOST, "1".repeat(5000)), 0, Optional.empty());
		this.store.put(prefix + "c-port", announcement(HOST, "65536"), 0, Optional.empty());
		this.store.put(prefix + "d-name", announcement("guard.invalid", "7720"), 0, Optional.empty());
		this.store.put(prefix + "e-text", announcement("1".repeat(100_000), "7720"), 0, Optional.empty());
		this.store.put(prefix, announcement(HOST, "7720"), 0, Optional.empty());
		this.store.put(AnnouncementFormat.PREFIX + "GUARD/guard-1", announcement(HOST, "7720"), 0, Optional.empty());
		this.store.put(AnnouncementFormat.PREFIX + "observer/x", announcement(HOST, "7720"), 0, Optional.empty());
		this.store.put(AnnouncementFormat.PREFIX + "entry/entry-1", announcement(HOST, "7720"), 0, Optional.empty());
		try (BatchEntryShell entry = entry("entry-1", this.store); BatchGuardShell guard = guard()) {
			assertThat(guard.onHeartbeat(report())).isTrue();
			await(() -> entry.gateway().isReady());
			assertThat(submit(entry, "b1").get(30, TimeUnit.SECONDS).verdict()).isEqualTo(BatchVerdict.COMPLETED);
			assertThat(entry.context().log().recentEvents())
				.filteredOn((event) -> event.number() == LogEvent.VALUE_MALFORMED.number())
				.hasSize(8);
			assertThat(entry.context().log().recentEvents())
				.noneMatch((event) -> event.number() == LogEvent.LINK_FAULT.number());
		}
	}

	// Guards against a link that is replaced again and again, because another
	// announcement names the address of its guard or that of the entry itself.
	@Example
	void keepsItsLinkWhenOtherAnnouncementsNameTheSameAddress() throws Exception {
		this.store.put(CONFIG_KEY, "1", 0, Optional.empty());
		try (BatchEntryShell entry = entry("entry-1", this.store); BatchGuardShell guard = guard()) {
			assertThat(guard.onHeartbeat(report())).isTrue();
			await(() -> entry.gateway().isReady());
			String other = AnnouncementFormat.PREFIX + "guard/guard-2";
			String self = AnnouncementFormat.PREFIX + "entry/entry-2";
			this.store.put(other, announcement(HOST, String.valueOf(guard.peerPort())), 0, Optional.empty());
			this.store.put(self, announcement(HOST, String.valueOf(entry.peerPort())), 0, Optional.empty());
			await(() -> entry.context()
				.log()
				.recentEvents()
				.stream()
				.filter((event) -> event.number() == LogEvent.LINK_FAULT.number())
				.map(RecentEvent::subject)
				.distinct()
				.count() == 3);
			assertThat(submit(entry, "b1").get(30, TimeUnit.SECONDS).verdict()).isEqualTo(BatchVerdict.COMPLETED);
			assertThat(entry.context().log().recentEvents())
				.filteredOn((event) -> event.number() == LogEvent.LINK_UP.number())
				.hasSize(1);
		}
	}

	private static String announcement(String address, String port) {
		return "{\"address\":\"" + address + "\",\"port\":" + port + ",\"incarnation\":1}";
	}

	// Guards against an entry that applies no later configuration, because an exception
	// about one document ended the thread that parses the documents of other entries.
	@Example
	void appliesAConfigurationAfterOneThatMadeTheParserFail() throws Exception {
		this.store.put(CONFIG_KEY, "2", 0, Optional.empty());
		CountDownLatch failed = new CountDownLatch(1);
		ConfigSource failing = new ConfigSource(CONFIG_KEY, (document) -> {
			if (document.equals("2")) {
				failed.countDown();
				throw new IllegalStateException("exception of this test");
			}
			return CONFIG.reader().read(document);
		});
		try (BatchEntryShell first = entry("entry-1", this.store);
				BatchEntryShell second = new BatchEntryShell(
						new BatchEntrySettings(processSettings("entry-2"), new PeerAddress(HOST, 0),
								new PeerAddress(HOST, 0), 1.5),
						this.time, new StoreWithoutConfig(this.store), failing)) {
			assertThat(failed.await(30, TimeUnit.SECONDS)).isTrue();
			this.store.put(CONFIG_KEY, "3", this.store.readPrefix(CONFIG_KEY).entries().get(0).revision(),
					Optional.empty());
			for (int count = 0; count < 3000 && !second.gateway().isConfigured(); count++) {
				new CountDownLatch(1).await(10, TimeUnit.MILLISECONDS);
			}
			assertThat(second.gateway().isConfigured()).isTrue();
			assertThat(first.hasFailed()).isFalse();
		}
	}

	private static void awaitReady(BatchEntryShell entry) throws InterruptedException {
		for (int count = 0; count < 3000 && !entry.gateway().isReady(); count++) {
			new CountDownLatch(1).await(10, TimeUnit.MILLISECONDS);
		}
		assertThat(entry.gateway().isReady()).isTrue();
	}

	private static void awaitEvent(BatchGuardShell guard, LogEvent expected) throws InterruptedException {
		for (int count = 0; count < 3000; count++) {
			if (guard.context()
				.log()
				.recentEvents()
				.stream()
				.anyMatch((event) -> event.number() == expected.number())) {
				return;
			}
			new CountDownLatch(1).await(10, TimeUnit.MILLISECONDS);
		}
		assertThat(guard.context().log().recentEvents()).extracting(RecentEvent::name).contains(expected.name());
	}

	private CompletableFuture<BatchAnswer> submit(BatchEntryShell entry, String id) {
		CompletableFuture<BatchAnswer> answer = new CompletableFuture<>();
		BatchRequest request = new BatchRequest(new BatchId(id), "spec",
				new TaskGroup(2, new ResourceAmounts(1000, 1, 0), 60_000, "", "", 0), 600_000, Optional.empty());
		assertThat(entry.gateway().submit("host", "/q/" + id, request, answer::complete)).isPresent();
		return answer;
	}

	private BatchEntryShell entry(String id, Store entryStore) throws IOException {
		return new BatchEntryShell(
				new BatchEntrySettings(processSettings(id), new PeerAddress(HOST, 0), new PeerAddress(HOST, 0), 1.5),
				this.time, entryStore, CONFIG);
	}

	private BatchGuardShell guard() throws IOException {
		return guard(ImmediateEndpoint::new);
	}

	private BatchGuardShell guard(EndpointConnector connector) throws IOException {
		return new BatchGuardShell(
				new BatchGuardSettings(processSettings("guard-1"), URI.create("http://" + HOST + ":1"), 1000),
				this.time, this.store, connector);
	}

	private static ProcessSettings processSettings(String id) {
		return new ProcessSettings(id, new ZoneName("zone"), new RackName("rack"), HOST, 0, 0, List.of(),
				"a secret for this test", 64, 1000);
	}

	private static EndpointReport report() {
		return new EndpointReport(new EndpointIncarnation("i-1", 1), 1, POOL, Set.of(),
				new ResourceAmounts(8000, 100, 0), false);
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean()) {
			new CountDownLatch(1).await(10, TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * An endpoint whose runs finish immediately.
	 */
	private static final class ImmediateEndpoint implements EndpointOrders {

		private final OrderAnswerListener answerListener;

		private final List<RunId> finished = new ArrayList<>();

		ImmediateEndpoint(OrderAnswerListener answerListener) {
			this.answerListener = answerListener;
		}

		@Override
		public synchronized void start(LeaseTerms lease, RunId run, String spec) {
			this.finished.add(run);
			this.answerListener.onStartAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(1));
		}

		@Override
		public void stop(LeaseTerms lease, RunId run) {
			this.answerListener.onStopAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(1));
		}

		@Override
		public synchronized void poll(LeaseTerms lease, Poll poll) {
			List<EndedRun> ended = new ArrayList<>();
			for (int number = (int) poll.highestReceivedEnd() + 1; number <= this.finished.size(); number++) {
				ended.add(new EndedRun(number, this.finished.get(number - 1), RunOutcome.DONE));
			}
			this.answerListener.onPollAnswered(poll, OrderResult.ACCEPTED,
					Optional.of(new PollAnswer(1, 1, List.of(), ended)));
		}

	}

	/**
	 * An endpoint whose runs make progress until they are stopped.
	 */
	private static final class EndlessEndpoint implements EndpointOrders {

		private final OrderAnswerListener answerListener;

		private final CountDownLatch stopped;

		private final Set<RunId> active = new LinkedHashSet<>();

		private int percent;

		EndlessEndpoint(OrderAnswerListener answerListener, CountDownLatch stopped) {
			this.answerListener = answerListener;
			this.stopped = stopped;
		}

		@Override
		public synchronized void start(LeaseTerms lease, RunId run, String spec) {
			this.active.add(run);
			this.answerListener.onStartAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(1));
		}

		@Override
		public synchronized void stop(LeaseTerms lease, RunId run) {
			this.active.remove(run);
			this.stopped.countDown();
			this.answerListener.onStopAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(1));
		}

		@Override
		public synchronized void poll(LeaseTerms lease, Poll poll) {
			this.percent++;
			this.answerListener.onPollAnswered(poll, OrderResult.ACCEPTED, Optional.of(new PollAnswer(1, 1,
					this.active.stream().map((run) -> new ActiveRun(run, this.percent)).toList(), List.of())));
		}

	}

	/**
	 * A store whose announcements name the protocol of the previous version.
	 */
	private static final class StoreOfPreviousVersion implements Store {

		private final MemoryStore delegate;

		StoreOfPreviousVersion(MemoryStore delegate) {
			this.delegate = delegate;
		}

		@Override
		public KvSnapshot readPrefix(String prefix) {
			return ofPreviousVersion(this.delegate.readPrefix(prefix));
		}

		@Override
		public KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) {
			return ofPreviousVersion(this.delegate.watch(prefix, known, waitMillis));
		}

		private static KvSnapshot ofPreviousVersion(KvSnapshot snapshot) {
			return new KvSnapshot(snapshot.revision(),
					snapshot.entries()
						.stream()
						.map((entry) -> new KvEntry(entry.key(),
								entry.value().replace("\"protocol\":3", "\"protocol\":2"), entry.revision()))
						.toList());
		}

		@Override
		public long put(String key, String value, long expected, Optional<Long> lease) throws StoreException {
			return this.delegate.put(key, value, expected, lease);
		}

		@Override
		public long delete(String key, long expected) throws StoreException {
			return this.delegate.delete(key, expected);
		}

		@Override
		public long grantLease(long ttlMillis) {
			return this.delegate.grantLease(ttlMillis);
		}

		@Override
		public void renewLease(long lease) {
			this.delegate.renewLease(lease);
		}

		@Override
		public void close() {
			this.delegate.close();
		}

	}

	/**
	 * A store that returns everything except the configuration.
	 */
	private static final class StoreWithoutConfig implements Store {

		private final MemoryStore delegate;

		StoreWithoutConfig(MemoryStore delegate) {
			this.delegate = delegate;
		}

		@Override
		public KvSnapshot readPrefix(String prefix) {
			return withoutConfig(prefix, this.delegate.readPrefix(prefix));
		}

		@Override
		public KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) {
			return withoutConfig(prefix, this.delegate.watch(prefix, known, waitMillis));
		}

		private static KvSnapshot withoutConfig(String prefix, KvSnapshot snapshot) {
			return prefix.equals(CONFIG_KEY) ? new KvSnapshot(snapshot.revision(), List.of()) : snapshot;
		}

		@Override
		public long put(String key, String value, long expected, Optional<Long> lease) throws StoreException {
			return this.delegate.put(key, value, expected, lease);
		}

		@Override
		public long delete(String key, long expected) throws StoreException {
			return this.delegate.delete(key, expected);
		}

		@Override
		public long grantLease(long ttlMillis) {
			return this.delegate.grantLease(ttlMillis);
		}

		@Override
		public void renewLease(long lease) {
			this.delegate.renewLease(lease);
		}

		@Override
		public void close() {
			this.delegate.close();
		}

	}

}
