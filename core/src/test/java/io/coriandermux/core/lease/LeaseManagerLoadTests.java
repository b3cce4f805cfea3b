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
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against load messages that take more processor time than the tasks, as happens
 * if each guard sends a message to each entry on each start and end. The workload is
 * short tasks, 50 starts per second at one endpoint, all requested by one entry.
 */
class LeaseManagerLoadTests implements EndpointOrders {

	private static final ResourceAmounts CAPACITY = new ResourceAmounts(64_000, 1000, 0);

	private static final ResourceAmounts NEEDS = new ResourceAmounts(5_000, 10, 0);

	private static final Incarnation ENTRY_INCARNATION = new Incarnation(1);

	private static final EndpointIncarnation ENDPOINT_INCARNATION = new EndpointIncarnation("i-1", 1000);

	private final Map<EntryId, Integer> loadCounts = new LinkedHashMap<>();

	private final LeaseManager leaseManager = new LeaseManager(LeaseSettings.of(1000), 7, this, (entry, message) -> {
		if (message instanceof EndpointChanged) {
			this.loadCounts.merge(entry, 1, Integer::sum);
		}
		else if (message instanceof SessionPing) {
			this.pingCount++;
		}
	}, (notice) -> {
	});

	private long nanos = 1_000_000_000L;

	private int pingCount;

	private Poll lastPoll;

	private int endCount;

	// The limit is 64 loads per second in total, plus those sent together with the 2
	// pings per second to each entry without runs. Without the limit, 50 changes per
	// second would cause 700 messages to 14 entries.
	@Example
	void limitsTheLoadsPerSecondThatAreNotSentWithAPing() {
		assertThat(loadsToEntriesWithoutRuns(15)).isBetween(14 * 2, 64 + 14 * 3);
		this.loadCounts.clear();
		assertThat(loadsToEntriesWithoutRuns(100)).isBetween(99, 64 + 99 * 3);
	}

	@Example
	void pingsEntriesWithoutRunsAboutTwicePerSecond() {
		serveOneSecond(15);
		assertThat(this.pingCount).isBetween(15 + 15 * 2, 15 + 15 * 3);
	}

	@Example
	void sendsTheLoadImmediatelyToTheEntryWhoseRunEnded() {
		serveOneSecond(15);
		assertThat(this.loadCounts.get(entry(0))).isGreaterThanOrEqualTo(50);
	}

	@Example
	void sendsTheLoadWithLittleDelayIfThereAreFewEntries() {
		serveOneSecond(3);
		assertThat(this.loadCounts.get(entry(1))).isGreaterThanOrEqualTo(15);
	}

	// Returns the number of loads sent in one second to the entries without runs.
	private int loadsToEntriesWithoutRuns(int entries) {
		serveOneSecond(entries);
		return this.loadCounts.entrySet()
			.stream()
			.filter((sent) -> !sent.getKey().equals(entry(0)))
			.mapToInt(Map.Entry::getValue)
			.sum();
	}

	private void serveOneSecond(int entries) {
		for (int number = 0; number < entries; number++) {
			this.leaseManager.onEntryConnected(entry(number), ENTRY_INCARNATION, now());
		}
		this.leaseManager.onHeartbeat(
				new EndpointReport(ENDPOINT_INCARNATION, this.nanos, new PoolName("orders"), Set.of(), CAPACITY, false),
				now());
		answerPoll(List.of());
		this.loadCounts.clear();
		int firstRun = this.endCount;
		for (int tick = 0; tick < 50; tick++) {
			RunId run = new RunId(new BatchId("b" + (firstRun + tick)), 0, 0, 1);
			this.leaseManager.onMessage(entry(0), ENTRY_INCARNATION, new StartRun(run, "spec", NEEDS, tick + 1), now());
			this.leaseManager.onStartAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(0), now());
			this.endCount++;
			answerPoll(List.of(new EndedRun(this.endCount, run, RunOutcome.DONE)));
			this.nanos += 20_000_000;
			for (int number = 0; number < entries; number++) {
				this.leaseManager.onMessage(entry(number), ENTRY_INCARNATION, new SessionPong(this.nanos), now());
			}
			this.leaseManager.tick(now());
		}
	}

	private void answerPoll(List<EndedRun> ends) {
		this.leaseManager.onPollAnswered(this.lastPoll, OrderResult.ACCEPTED,
				Optional.of(new PollAnswer(0, ENDPOINT_INCARNATION.startedAtMillis(), List.of(), ends)), now());
	}

	private static EntryId entry(int number) {
		return new EntryId("e" + number);
	}

	private Moment now() {
		return new Moment(this.nanos, this.nanos / 1_000_000);
	}

	@Override
	public void start(LeaseTerms lease, RunId run, String spec) {
		// The test answers the order itself.
	}

	@Override
	public void stop(LeaseTerms lease, RunId run) {
		// No run is stopped in these tests.
	}

	@Override
	public void poll(LeaseTerms lease, Poll poll) {
		this.lastPoll = poll;
	}

}
