package io.coriandermux.core.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
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
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * A guard's decisions under a paused clock, with an endpoint and an entry that do what a
 * test says.
 */
final class LeaseBed implements EndpointOrders {

	static final EntryId ENTRY = new EntryId("entry-1");

	static final Incarnation INCARNATION = new Incarnation(1);

	static final EndpointLife LIFE = new EndpointLife("i-1", 1000);

	static final Amounts CAPACITY = new Amounts(10_000, 1000, 0);

	static final Amounts NEEDS = new Amounts(4_000, 100, 0);

	static final EntryId SECOND_ENTRY = new EntryId("entry-2");

	final List<RunId> starts = new ArrayList<>();

	final List<RunId> stops = new ArrayList<>();

	final List<Poll> polls = new ArrayList<>();

	final List<LeaseTerms> terms = new ArrayList<>();

	final List<Message> messages = new ArrayList<>();

	final List<Message> toSecondEntry = new ArrayList<>();

	final LeaseNode node = new LeaseNode(LeaseSettings.of(1000), 7, this,
			(entry, message) -> (entry.equals(ENTRY) ? this.messages : this.toSecondEntry).add(message), (notice) -> {
			});

	long sequence;

	boolean entryAnswers = true;

	private long nanos = 1_000_000_000L;

	private long wallMillis = 1_700_000_000_000L;

	private long orders;

	static LeaseBed settled() {
		LeaseBed bed = new LeaseBed();
		bed.node.entryUp(ENTRY, INCARNATION, bed.now());
		bed.report(LIFE, false);
		bed.answerLook(List.of(), List.of());
		return bed;
	}

	static RunId run(String batch, int attempt) {
		return new RunId(new BatchId(batch), 0, 0, attempt);
	}

	Moment now() {
		return new Moment(this.nanos, this.wallMillis);
	}

	void report(EndpointLife life, boolean draining) {
		this.sequence++;
		this.node.reported(
				new EndpointReport(life, this.sequence, new PoolName("orders"), Set.of("a"), CAPACITY, draining),
				now());
	}

	void advance(long millis) {
		for (long passed = 0; passed < millis; passed += 10) {
			this.nanos += 10_000_000;
			this.wallMillis += 10;
			if (this.entryAnswers) {
				this.node.message(ENTRY, INCARNATION, new SessionPong(this.nanos), now());
			}
			this.node.tick(now());
		}
	}

	// The steady clock of a suspended VM stands still, its wall clock does not.
	void suspend(long millis) {
		this.wallMillis += millis;
	}

	void ask(RunId run) {
		this.orders++;
		this.node.message(ENTRY, INCARNATION, new StartRun(run, "spec", NEEDS, this.orders), now());
	}

	void askFromSecondEntry(RunId run) {
		this.node.entryUp(SECOND_ENTRY, INCARNATION, now());
		this.node.message(SECOND_ENTRY, INCARNATION, new StartRun(run, "spec", NEEDS, 1), now());
	}

	void askStop(RunId run) {
		this.node.message(ENTRY, INCARNATION, new StopRun(run), now());
	}

	void answerStart(RunId run, OrderResult result) {
		this.node.startAnswered(run, result, OptionalLong.of(0), now());
	}

	void running(RunId run) {
		ask(run);
		answerStart(run, OrderResult.ACCEPTED);
	}

	void answerLook(List<ActiveRun> active, List<EndedRun> ended) {
		answerLook(LIFE.bornMillis(), active, ended);
	}

	void answerLook(long born, List<ActiveRun> active, List<EndedRun> ended) {
		Poll last = this.polls.get(this.polls.size() - 1);
		this.node.pollAnswered(last, OrderResult.ACCEPTED, Optional.of(new PollAnswer(0, born, active, ended)), now());
	}

	List<RunOutcome> outcomes(RunId run) {
		return this.messages.stream()
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

	long pings() {
		return this.messages.stream().filter(SessionPing.class::isInstance).count();
	}

	@Override
	public void start(LeaseTerms lease, RunId run, String spec) {
		this.terms.add(lease);
		this.starts.add(run);
	}

	@Override
	public void stop(LeaseTerms lease, RunId run) {
		this.stops.add(run);
	}

	@Override
	public void poll(LeaseTerms lease, Poll poll) {
		this.terms.add(lease);
		this.polls.add(poll);
	}

}
