package io.coriandermux.core.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.HeldBatch;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a batch that runs at two entries because the first one does not learn
 * that its caller has given up (issue 31), and against a batch that waits without end for
 * another entry.
 */
class BatchHandoverTests {

	private static final BatchId BATCH = new BatchId("b1");

	private static final EntryId PEER = new EntryId("e2");

	private static final EntryId OTHER = new EntryId("e3");

	private static final Incarnation FIRST = new Incarnation(5);

	private static final Incarnation NEXT = new Incarnation(6);

	private final DispatcherFixture fixture = DispatcherFixture.withGuards("g1");

	@Example
	void announcesABatchOnlyAfterItHasRunForAWhile() {
		connect(PEER, FIRST);
		this.fixture.submit("b1", 1);
		this.fixture.advance(390);
		assertThat(sent(PEER)).containsExactly(list(true, List.of(), List.of()));
		this.fixture.advance(220);
		assertThat(sent(PEER)).containsExactly(list(true, List.of(), List.of()),
				list(false, List.of(), List.of(BATCH)));
	}

	@Example
	void announcesTheEndOfABatch() {
		connect(PEER, FIRST);
		this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.DONE);
		this.fixture.advance(1_200);
		assertThat(sent(PEER)).last().isEqualTo(list(false, List.of(BATCH), List.of()));
	}

	@Example
	void listsAllAnnouncedBatchesOnANewLink() {
		connect(PEER, FIRST);
		this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		connect(PEER, FIRST);
		connect(OTHER, FIRST);
		assertThat(sent(PEER)).last().isEqualTo(list(true, List.of(), List.of(BATCH)));
		assertThat(sent(OTHER)).last().isEqualTo(list(true, List.of(), List.of(BATCH)));
	}

	@Example
	void placesABatchThatAnotherEntryHasAnnouncedOnlyWhenItIsReleased() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		CallerRef caller = this.fixture.submit("b1", 1);
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(sent(PEER)).last().isEqualTo(new ReleaseBatch(BATCH));
		assertThat(this.fixture.notices(NoticeKind.BATCH_HELD_ELSEWHERE)).hasSize(1);
		receive(PEER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).hasSize(1);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.DONE);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.COMPLETED);
	}

	@Example
	void waitsForAllEntriesThatHaveAnnouncedABatch() {
		connect(PEER, FIRST);
		connect(OTHER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		receive(OTHER, list(false, List.of(), List.of(BATCH)));
		this.fixture.submit("b1", 1);
		receive(PEER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).isEmpty();
		receive(OTHER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against a second run at an entry that has announced the batch while the
	// request was waiting for another one.
	@Example
	void waitsForAnEntryThatAnnouncesABatchWhileItsRequestWaits() {
		connect(PEER, FIRST);
		connect(OTHER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		this.fixture.submit("b1", 1);
		receive(OTHER, list(false, List.of(), List.of(BATCH)));
		receive(PEER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(sent(OTHER)).last().isEqualTo(new ReleaseBatch(BATCH));
		receive(OTHER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against the answer "not run" for a batch that runs at another entry.
	@Example
	void refusesNoBatchAsNotRunThatAnotherEntryHasAnnounced() {
		this.fixture.reportLoad("g1", DispatcherFixture.CAPACITY, new ResourceAmounts(0, 0, 0), Set.of(), 0);
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		this.fixture.advance(2_900);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against the answer "not run" for a batch that runs at another entry.
	@Example
	void refusesNoLateRequestAsNotRunIfAnotherEntryHasAnnouncedTheBatch() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		CallerRef caller = this.fixture.submit("/q/b1", new BatchRequest(BATCH, "spec",
				new TaskGroup(1, DispatcherFixture.NEEDS, 200, "", "", 0), 3_000, Optional.empty())
			.withAge(2_970));
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	@Example
	void answersAsUnfinishedIfABatchIsNotReleasedWithinTheCallersTimeout() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(2_990);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		receive(PEER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).isEmpty();
	}

	@Example
	void repeatsTheRequestOnANewLink() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		this.fixture.submit("b1", 1);
		connect(PEER, FIRST);
		receive(PEER, list(true, List.of(), List.of(BATCH)));
		assertThat(sent(PEER)).filteredOn(ReleaseBatch.class::isInstance).hasSize(2);
		receive(PEER, list(true, List.of(), List.of()));
		assertThat(this.fixture.starts()).hasSize(1);
	}

	@Example
	void givesUpABatchForAnotherEntryAndConfirmsOnlyAfterItsRunsHaveEnded() {
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		receive(PEER, new ReleaseBatch(BATCH));
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(this.fixture.stops()).hasSize(1);
		this.fixture.advance(500);
		assertThat(sent(PEER)).doesNotContain(list(false, List.of(BATCH), List.of()));
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(sent(PEER)).last().isEqualTo(list(false, List.of(BATCH), List.of()));
	}

	@Example
	void confirmsAtOnceThatABatchHasEnded() {
		connect(PEER, FIRST);
		receive(PEER, new ReleaseBatch(BATCH));
		assertThat(sent(PEER)).last().isEqualTo(list(false, List.of(BATCH), List.of()));
	}

	// Guards against two entries that both place a batch when the first one releases it.
	@Example
	void givesUpARequestThatWaitsForAThirdEntry() {
		connect(PEER, FIRST);
		connect(OTHER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		assertThat(sent(OTHER)).contains(list(false, List.of(), List.of(BATCH)));
		receive(OTHER, new ReleaseBatch(BATCH));
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(sent(OTHER)).last().isEqualTo(list(false, List.of(BATCH), List.of()));
		receive(PEER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).isEmpty();
	}

	@Example
	void placesTheBatchOfALostEntryWhenItsPermissionsHaveEnded() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		this.fixture.dispatcher.onEntryLost(PEER, FIRST, this.fixture.now());
		this.fixture.submit("b1", 1);
		this.fixture.advance(490);
		assertThat(this.fixture.starts()).isEmpty();
		this.fixture.advance(20);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// The next incarnation of an entry may be there before the leases that the former one
	// has confirmed have expired.
	@Example
	void doesNotTakeTheNextIncarnationForTheEndOfTheRunsOfTheFormerOne() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		this.fixture.dispatcher.onEntryLost(PEER, FIRST, this.fixture.now());
		connect(PEER, NEXT);
		receive(PEER, list(true, List.of(), List.of()));
		this.fixture.submit("b1", 1);
		this.fixture.advance(1_190);
		assertThat(this.fixture.starts()).isEmpty();
		this.fixture.advance(20);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	@Example
	void announcesTheAgeOfABatch() {
		connect(PEER, FIRST);
		submitWithAge(500);
		this.fixture.advance(700);
		connect(OTHER, FIRST);
		assertThat(this.fixture.peerMessages).last()
			.isEqualTo(new DispatcherFixture.PeerMessage(OTHER,
					new HeldBatches(true, List.of(), List.of(new HeldBatch(BATCH, 1_200)))));
	}

	// Guards against two runs that go on after two entries have accepted a batch without
	// knowing of each other.
	@Example
	void givesUpABatchThatAnotherEntryHasAcceptedLater() {
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(1_500);
		receive(PEER, new HeldBatches(false, List.of(), List.of(new HeldBatch(BATCH, 400))));
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(this.fixture.stops()).hasSize(1);
		assertThat(this.fixture.notices(NoticeKind.BATCH_HELD_TWICE)).hasSize(1);
	}

	@Example
	void keepsABatchThatAnotherEntryHasAcceptedEarlier() {
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(500);
		receive(PEER, new HeldBatches(false, List.of(), List.of(new HeldBatch(BATCH, 1_900))));
		assertThat(this.fixture.verdict(caller)).isNull();
		assertThat(this.fixture.stops()).isEmpty();
	}

	// Guards against a batch that starts after its cancellation was answered.
	@Example
	void cancelsABatchThatWaitsForAnotherEntry() {
		connect(PEER, FIRST);
		receive(PEER, list(false, List.of(), List.of(BATCH)));
		CallerRef caller = this.fixture.submit("b1", 1);
		assertThat(this.fixture.dispatcher.state(BATCH)).isEqualTo(BatchVerdict.RUNNING);
		assertThat(this.fixture.dispatcher.cancel(BATCH, this.fixture.now())).isEqualTo(BatchVerdict.CANCELLED);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.CANCELLED);
		receive(PEER, list(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against work for a caller that has given up before its request was read.
	@Example
	void refusesARequestWhoseCallerCanNoLongerWait() {
		CallerRef late = submitWithAge(2_970);
		assertThat(this.fixture.verdict(late)).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(this.fixture.starts()).isEmpty();
	}

	@Example
	void countsTheAgeOfARequestAsPartOfTheCallersTimeout() {
		CallerRef caller = submitWithAge(800);
		assertThat(this.fixture.starts()).hasSize(1);
		assertThat(this.fixture.notices(NoticeKind.BATCH_ACCEPTED).get(0).detail()).endsWith("sent up to 800 ms ago");
		this.fixture.advance(2_150);
		assertThat(this.fixture.verdict(caller)).isNull();
		this.fixture.advance(20);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against a second run of a batch whose caller gave up unnoticed and submitted
	// it to another entry before this one read the first request.
	@Example
	void refusesARequestThatIsReadAfterItsCallerMayHaveSubmittedItElsewhere() {
		CallerRef late = submitWithAge(900);
		assertThat(this.fixture.verdict(late)).isEqualTo(BatchVerdict.UNAVAILABLE);
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against a second run after the guards have stopped the runs of an entry that
	// stood still, and its caller has submitted the batch to another one.
	@Example
	void startsNothingAgainIfItStoodStillBeforeItAnnouncedTheBatch() {
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.standStill(1_400);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(this.fixture.starts()).hasSize(1);
		this.fixture.advance(20);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	@Example
	void startsATaskAgainIfItStoodStillBrieflyAfterItAnnouncedTheBatch() {
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(1_000);
		this.fixture.standStill(250);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(this.fixture.starts()).hasSize(2);
		assertThat(this.fixture.verdict(caller)).isNull();
	}

	// Guards against a second run after a standstill in which the announcement has not
	// left this process, or the other entries have forgotten it.
	@Example
	void startsNothingAgainIfItStoodStillForLongAfterItAnnouncedTheBatch() {
		connect(PEER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		this.fixture.standStill(300);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(this.fixture.starts()).hasSize(1);
		this.fixture.advance(20);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against starts by a message that is handled before the first periodic work
	// after a standstill.
	@Example
	void startsNothingAgainBeforeItNoticesThatItStoodStill() {
		connect(PEER, FIRST);
		this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		this.fixture.skip(1_200);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against a second run after a partition, in which the other entries have
	// forgotten what this one has announced.
	@Example
	void startsNothingAgainIfItWasCutOffFromAllOtherEntries() {
		connect(PEER, FIRST);
		connect(OTHER, FIRST);
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		this.fixture.dispatcher.onEntryLost(PEER, FIRST, this.fixture.now());
		this.fixture.dispatcher.onEntryLost(OTHER, FIRST, this.fixture.now());
		this.fixture.advance(300);
		connect(PEER, FIRST);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		this.fixture.advance(20);
		assertThat(this.fixture.starts()).hasSize(1);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	@Example
	void startsTasksAgainIfOnlyOneOfSeveralEntriesIsLost() {
		connect(PEER, FIRST);
		connect(OTHER, FIRST);
		this.fixture.submit("b1", 1);
		this.fixture.advance(700);
		this.fixture.dispatcher.onEntryLost(PEER, FIRST, this.fixture.now());
		this.fixture.advance(300);
		this.fixture.endRun("g1", this.fixture.starts().get(0), RunOutcome.STOPPED);
		assertThat(this.fixture.starts()).hasSize(2);
	}

	// Guards against two runs that go on until the next announcement: the entry with the
	// older batch does not know of the younger one yet.
	@Example
	void requestsAnOlderBatchOfAnotherEntryAtOnce() {
		connect(PEER, FIRST);
		this.fixture.submit("b1", 1);
		this.fixture.advance(100);
		receive(PEER, new HeldBatches(false, List.of(), List.of(new HeldBatch(BATCH, 1_450))));
		assertThat(sent(PEER)).last().isEqualTo(new ReleaseBatch(BATCH));
		assertThat(this.fixture.stops()).isEmpty();
	}

	private CallerRef submitWithAge(long ageMillis) {
		return this.fixture.submit("/q/b1", new BatchRequest(BATCH, "spec",
				new TaskGroup(1, DispatcherFixture.NEEDS, 200, "", "", 0), 3_000, Optional.empty())
			.withAge(ageMillis));
	}

	private void connect(EntryId entry, Incarnation incarnation) {
		this.fixture.dispatcher.onEntryConnected(entry, incarnation, this.fixture.now());
	}

	private void receive(EntryId entry, Message message) {
		this.fixture.dispatcher.onEntryMessage(entry, FIRST, message, this.fixture.now());
	}

	// The tests compare announcements by their batches; ages have tests of their own.
	private static HeldBatches list(boolean complete, List<BatchId> ended, List<BatchId> held) {
		return new HeldBatches(complete, ended, held.stream().map((batch) -> new HeldBatch(batch, 0)).toList());
	}

	private static Message withoutAges(Message message) {
		return (message instanceof HeldBatches list)
				? list(list.complete(), list.ended(), list.held().stream().map(HeldBatch::batch).toList()) : message;
	}

	private List<Message> sent(EntryId entry) {
		return this.fixture.peerMessages.stream()
			.filter((sent) -> sent.entry().equals(entry))
			.map((sent) -> withoutAges(sent.message()))
			.toList();
	}

}
