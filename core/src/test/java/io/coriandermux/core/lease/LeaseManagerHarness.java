package io.coriandermux.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Runs a {@link LeaseManager} on a simulated clock, with an endpoint and an entry that
 * are controlled by the test.
 */
final class LeaseManagerHarness implements EndpointOrders {

	static final EntryId ENTRY = new EntryId("entry-1");

	static final Incarnation ENTRY_INCARNATION = new Incarnation(1);

	static final EntryIncarnation OWNER = new EntryIncarnation(ENTRY, ENTRY_INCARNATION);

	static final EndpointIncarnation ENDPOINT_INCARNATION = new EndpointIncarnation("i-1", 1000);

	static final ResourceAmounts CAPACITY = new ResourceAmounts(10_000, 1000, 0);

	static final ResourceAmounts NEEDS = new ResourceAmounts(4_000, 100, 0);

	static final EntryId SECOND_ENTRY = new EntryId("entry-2");

	final List<RunId> starts = new ArrayList<>();

	final List<RunId> stops = new ArrayList<>();

	final List<Long> stopTokens = new ArrayList<>();

	final List<Poll> polls = new ArrayList<>();

	final List<LeaseTerms> leases = new ArrayList<>();

	final List<Message> messages = new ArrayList<>();

	final List<Message> messagesToSecondEntry = new ArrayList<>();

	final List<Notice> notices = new ArrayList<>();

	final LeaseManager leaseManager = new LeaseManager(LeaseSettings.of(1000), 7, this,
			(entry, message) -> (entry.equals(ENTRY) ? this.messages : this.messagesToSecondEntry).add(message),
			this.notices::add);

	long sequence;

	boolean entryConfirmsPings = true;

	private long nanos = 1_000_000_000L;

	private long wallMillis = 1_700_000_000_000L;

	private long lastOrder;

	static LeaseManagerHarness settled() {
		LeaseManagerHarness harness = new LeaseManagerHarness();
		harness.connect(ENTRY);
		harness.sendHeartbeat(ENDPOINT_INCARNATION, false);
		harness.answerPoll(List.of(), List.of());
		return harness;
	}

	static RunId run(String batch, int attempt) {
		return new RunId(new BatchId(batch), 0, 0, attempt);
	}

	void connect(EntryId entry) {
		this.leaseManager.onEntryConnected(entry, ENTRY_INCARNATION, now());
		this.leaseManager.onMessage(entry, ENTRY_INCARNATION, new SessionPong(this.nanos), now());
	}

	Moment now() {
		return new Moment(this.nanos, this.wallMillis);
	}

	long endpointClockMillis() {
		return this.nanos / 1_000_000;
	}

	void sendHeartbeat(EndpointIncarnation incarnation, boolean draining) {
		this.sequence++;
		this.leaseManager.onHeartbeat(
				new EndpointReport(incarnation, this.sequence, new PoolName("orders"), Set.of("a"), CAPACITY, draining),
				now());
	}

	void advance(long millis) {
		for (long elapsed = 0; elapsed < millis; elapsed += 10) {
			this.nanos += 10_000_000;
			this.wallMillis += 10;
			if (this.entryConfirmsPings) {
				this.leaseManager.onMessage(ENTRY, ENTRY_INCARNATION, new SessionPong(this.nanos), now());
			}
			this.leaseManager.tick(now());
		}
	}

	// The monotonic clock of a suspended VM stops, its wall clock does not.
	void suspend(long millis) {
		this.wallMillis += millis;
	}

	void requestStart(RunId run) {
		this.lastOrder++;
		this.leaseManager.onMessage(ENTRY, ENTRY_INCARNATION, new StartRun(run, "spec", NEEDS, this.lastOrder), now());
	}

	void requestStartFromSecondEntry(RunId run) {
		connect(SECOND_ENTRY);
		this.leaseManager.onMessage(SECOND_ENTRY, ENTRY_INCARNATION, new StartRun(run, "spec", NEEDS, 1), now());
	}

	void requestStop(RunId run) {
		this.leaseManager.onMessage(ENTRY, ENTRY_INCARNATION, new StopRun(run), now());
	}

	void answerStart(RunId run, OrderResult result) {
		this.leaseManager.onStartAnswered(run, result, OptionalLong.of(endpointClockMillis()), now());
	}

	void startRunning(RunId run) {
		requestStart(run);
		answerStart(run, OrderResult.ACCEPTED);
	}

	void answerPoll(List<ActiveRun> active, List<EndedRun> ended) {
		answerPoll(ENDPOINT_INCARNATION.startedAtMillis(), active, ended);
	}

	void answerPoll(long startedAtMillis, List<ActiveRun> active, List<EndedRun> ended) {
		answerPoll(this.polls.get(this.polls.size() - 1), startedAtMillis, active, ended);
	}

	void answerPoll(Poll poll, List<ActiveRun> active, List<EndedRun> ended) {
		answerPoll(poll, ENDPOINT_INCARNATION.startedAtMillis(), active, ended);
	}

	private void answerPoll(Poll poll, long startedAtMillis, List<ActiveRun> active, List<EndedRun> ended) {
		this.leaseManager.onPollAnswered(poll, OrderResult.ACCEPTED,
				Optional.of(new PollAnswer(endpointClockMillis(), startedAtMillis, active, ended)), now());
	}

	List<Notice> notices(NoticeKind kind) {
		return this.notices.stream().filter((notice) -> notice.kind() == kind).toList();
	}

	List<RunOutcome> outcomes(RunId run) {
		return outcomes(this.messages, run);
	}

	List<RunOutcome> outcomesOfSecondEntry(RunId run) {
		return outcomes(this.messagesToSecondEntry, run);
	}

	private static List<RunOutcome> outcomes(List<Message> sent, RunId run) {
		return sent.stream()
			.filter((message) -> message instanceof RunEnded ended && ended.run().equals(run))
			.map((message) -> ((RunEnded) message).outcome())
			.toList();
	}

	Optional<EndpointChanged> lastLoad() {
		return this.messages.stream()
			.filter(EndpointChanged.class::isInstance)
			.map(EndpointChanged.class::cast)
			.reduce((first, second) -> second);
	}

	long pingCount() {
		return this.messages.stream().filter(SessionPing.class::isInstance).count();
	}

	@Override
	public void start(LeaseTerms lease, RunId run, String spec) {
		this.leases.add(lease);
		this.starts.add(run);
	}

	@Override
	public void stop(LeaseTerms lease, RunId run) {
		this.stops.add(run);
		this.stopTokens.add(lease.token());
	}

	@Override
	public void poll(LeaseTerms lease, Poll poll) {
		this.leases.add(lease);
		this.polls.add(poll);
	}

}
