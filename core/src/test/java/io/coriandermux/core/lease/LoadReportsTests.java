package io.coriandermux.core.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against loads that take more processor time than the work: a fleet in which each
 * guard tells each entry of each start and end. Pattern of load: short tasks, 50 starts a
 * second at an endpoint, all of one entry.
 */
class LoadReportsTests implements EndpointOrders {

	private static final Amounts CAPACITY = new Amounts(64_000, 1000, 0);

	private static final Amounts NEEDS = new Amounts(5_000, 10, 0);

	private static final Incarnation INCARNATION = new Incarnation(1);

	private static final EndpointLife LIFE = new EndpointLife("i-1", 1000);

	private final Map<EntryId, Integer> loads = new LinkedHashMap<>();

	private final LeaseNode node = new LeaseNode(LeaseSettings.of(1000), 7, this, (entry, message) -> {
		if (message instanceof EndpointChanged) {
			this.loads.merge(entry, 1, Integer::sum);
		}
		else if (message instanceof SessionPing) {
			this.pings++;
		}
	}, (notice) -> {
	});

	private long nanos = 1_000_000_000L;

	private int pings;

	private Poll lastPoll;

	private int ended;

	// 64 loads a second in all, and those that leave with the 2 pings a second to each
	// entry without runs; 50 changes a second would be 700 to 14 entries.
	@Example
	void sendsNoMoreLoadsASecondThanAFixedNumberBesideThePings() {
		assertThat(othersLoads(15)).isBetween(14 * 2, 64 + 14 * 3);
		this.loads.clear();
		assertThat(othersLoads(100)).isBetween(99, 64 + 99 * 3);
	}

	@Example
	void pingsEntriesWithoutRunsOnlyAsOftenAsTheirSessionsNeed() {
		serveOneSecond(15);
		assertThat(this.pings).isBetween(15 + 15 * 2, 15 + 15 * 3);
	}

	@Example
	void tellsTheEntryAtOnceWhoseRunEnds() {
		serveOneSecond(15);
		assertThat(this.loads.get(entry(0))).isGreaterThanOrEqualTo(50);
	}

	@Example
	void tellsFewEntriesOfEachChangeSoon() {
		serveOneSecond(3);
		assertThat(this.loads.get(entry(1))).isGreaterThanOrEqualTo(15);
	}

	// Loads in one second to the entries that have no run at the endpoint.
	private int othersLoads(int entries) {
		serveOneSecond(entries);
		return this.loads.entrySet()
			.stream()
			.filter((sent) -> !sent.getKey().equals(entry(0)))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private void serveOneSecond(int entries) {
		for (int number = 0; number < entries; number++) {
			this.node.entryUp(entry(number), INCARNATION, now());
		}
		this.node.reported(new EndpointReport(LIFE, this.nanos, new PoolName("orders"), Set.of(), CAPACITY, false),
				now());
		answerPoll(List.of());
		this.loads.clear();
		int firstRun = this.ended;
		for (int tick = 0; tick < 50; tick++) {
			RunId run = new RunId(new BatchId("b" + (firstRun + tick)), 0, 0, 1);
			this.node.message(entry(0), INCARNATION, new StartRun(run, "spec", NEEDS, tick + 1), now());
			this.node.startAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(0), now());
			this.ended++;
			answerPoll(List.of(new EndedRun(this.ended, run, RunOutcome.DONE)));
			this.nanos += 20_000_000;
			for (int number = 0; number < entries; number++) {
				this.node.message(entry(number), INCARNATION, new SessionPong(this.nanos), now());
			}
			this.node.tick(now());
		}
	}

	private void answerPoll(List<EndedRun> ends) {
		this.node.pollAnswered(this.lastPoll, OrderResult.ACCEPTED,
				Optional.of(new PollAnswer(0, LIFE.bornMillis(), List.of(), ends)), now());
	}

	private static EntryId entry(int number) {
		return new EntryId("e" + number);
	}

	private Moment now() {
		return new Moment(this.nanos, this.nanos / 1_000_000);
	}

	@Override
	public void start(LeaseTerms lease, RunId run, String spec) {
		// The endpoint answers when the test says so.
	}

	@Override
	public void stop(LeaseTerms lease, RunId run) {
		// No run is stopped here.
	}

	@Override
	public void poll(LeaseTerms lease, Poll poll) {
		this.lastPoll = poll;
	}

}
