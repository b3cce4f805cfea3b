package io.coriandermux.core.home;

import java.util.BitSet;
import java.util.Collections;
import java.util.List;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.GuardInfo;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that an entry never returns to an older home table, that partitions are spread
 * evenly, and that a take-over claims a task was not started only if every ledger that
 * may hold the task was read.
 */
class HomeTests {

	private static final HomeMember ENTRY_1 = new HomeMember(new EntryId("e1"), new Incarnation(1));

	private static final HomeMember ENTRY_2 = new HomeMember(new EntryId("e2"), new Incarnation(2));

	private static final Moment START = new Moment(0, 1_000_000);

	private static HomeTable table(long revision, HomeMember home, long epoch) {
		return new HomeTable(new Revision(revision), List.of(home), Collections.nCopies(Partition.COUNT, 0),
				Collections.nCopies(Partition.COUNT, epoch));
	}

	private static GuardInfo guard(String name) {
		return new GuardInfo(new GuardId(name), new Incarnation(1), "127.0.0.1", 1, new ZoneName("z"),
				new RackName("r"), new EndpointName(name), 1, Resources.NONE);
	}

	private static TakeOver takeOver() {
		BitSet partitions = new BitSet();
		partitions.set(0);
		TakeOver takeOver = new TakeOver(partitions, false, 5, START);
		takeOver.onGuardsListed(List.of(guard("a"), guard("b"), guard("c")), 5);
		return takeOver;
	}

	private static GuardHistory history(long sinceMillis, GuardInfo... guards) {
		GuardHistory history = new GuardHistory(127_000);
		history.onGuardsListed(List.of(guards), new Moment(0, sinceMillis));
		return history;
	}

	@Example
	void olderTableIsNotInstalled() {
		HomeView view = new HomeView(ENTRY_1);
		view.install(table(7, ENTRY_1, 2));
		assertThat(view.install(table(6, ENTRY_2, 1))).isEmpty();
		assertThat(view.install(table(7, ENTRY_2, 3))).isEmpty();
		assertThat(view.isHome(new Partition(3))).isTrue();
	}

	@Example
	void partitionIsLostWhenAGuardReportsAHigherEpoch() {
		HomeView view = new HomeView(ENTRY_1);
		view.install(table(7, ENTRY_1, 2));
		assertThat(view.recordGuardEpoch(new PartitionEpoch(new Partition(3), new Epoch(2)))).isFalse();
		assertThat(view.recordGuardEpoch(new PartitionEpoch(new Partition(3), new Epoch(3)))).isTrue();
		assertThat(view.isHome(new Partition(3))).isFalse();
		assertThat(view.isStale(new Partition(3))).isTrue();
		assertThat(view.install(table(8, ENTRY_1, 2)).orElseThrow().gained().get(3)).isFalse();
	}

	@Example
	void partitionsAreSpreadEvenlyAndOnlyTheirEpochsAreRaised() {
		HomeTable reassigned = HomePlanner
			.reassign(table(7, ENTRY_1, 2), List.of(ENTRY_1, ENTRY_2),
					HomePlanner.findOrphaned(table(7, ENTRY_1, 2), ENTRY_1::equals))
			.orElseThrow();
		assertThat(reassigned.homes()).filteredOn((home) -> home == 0).hasSize(512);
		assertThat(reassigned.epochs()).containsOnly(3L);
		BitSet moving = new BitSet();
		moving.set(9);
		assertThat(HomePlanner.reassign(table(7, ENTRY_1, 2), List.of(ENTRY_2), moving).orElseThrow().epochs().get(8))
			.isEqualTo(2);
	}

	@Example
	void taskIsProvenNotStartedOnlyAfterEveryPossibleGuardAnswered() {
		TakeOver takeOver = takeOver();
		GuardHistory history = history(0);
		takeOver.onFenceAnswered(new GuardId("a"), 0, START);
		takeOver.onFenceAnswered(new GuardId("b"), 0, START);
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 900_000, history)).isFalse();
		assertThat(takeOver.provesNotStarted((endpoint) -> !endpoint.value().equals("c"), 900_000, history)).isTrue();
		takeOver.onFenceAnswered(new GuardId("c"), 898_000, START);
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 900_000, history)).isFalse();
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 900_001, history)).isTrue();
	}

	@Example
	void taskIsProvenNotStartedOnlyByAGuardListReadAfterTheHomeTable() {
		BitSet partitions = new BitSet();
		partitions.set(0);
		TakeOver takeOver = new TakeOver(partitions, false, 5, START);
		takeOver.onGuardsListed(List.of(), 4);
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 900_000, history(0))).isFalse();
		takeOver.onGuardsListed(List.of(), 5);
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 900_000, history(0))).isTrue();
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 900_000, history(898_000))).isFalse();
	}

	@Example
	void taskOlderThanTheRemovalOfAGuardIsNotProvenNotStarted() {
		TakeOver takeOver = takeOver();
		List.of("a", "b", "c").forEach((name) -> takeOver.onFenceAnswered(new GuardId(name), 0, START));
		GuardHistory history = history(0, guard("d"));
		history.onGuardsListed(List.of(), new Moment(1, 900_000));
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 902_000, history)).isFalse();
		assertThat(takeOver.provesNotStarted((endpoint) -> true, 902_001, history)).isTrue();
	}

	@Example
	void longStoreOutageRestartsTheObservation() {
		GuardHistory history = history(0);
		history.onStoreFailed(new Moment(0, 0));
		history.onGuardsListed(List.of(), new Moment(GuardHistory.MAX_TOLERATED_OUTAGE_NANOS, 10_000));
		assertThat(history.observedSinceMillis()).hasValue(0);
		history.onStoreFailed(new Moment(0, 0));
		history.onGuardsListed(List.of(), new Moment(GuardHistory.MAX_TOLERATED_OUTAGE_NANOS + 1, 10_001));
		assertThat(history.observedSinceMillis()).hasValue(10_001);
	}

	@Example
	void majorityIsFencedOnceTwoOfThreeGuardsHaveAnswered() {
		TakeOver takeOver = takeOver();
		takeOver.onFenceAnswered(new GuardId("b"), 0, new Moment(1, 1_000_500));
		assertThat(takeOver.majorityFencedAtMillis((endpoint) -> true)).isEmpty();
		takeOver.onFenceAnswered(new GuardId("a"), 0, new Moment(2, 1_000_700));
		assertThat(takeOver.majorityFencedAtMillis((endpoint) -> true)).hasValue(1_000_700);
	}

}
