package io.coriandermux.core.dispatch;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a batch that starts although another entry has it and this entry has not
 * heard of that (issue 40).
 */
class BatchClaimTests {

	private static final BatchId BATCH = new BatchId("b1");

	private static final EntryId SELF = new EntryId("e1");

	private static final EntryId PEER = new EntryId("e2");

	private static final EntryId THIRD = new EntryId("e3");

	private static final Incarnation FIRST = new Incarnation(5);

	private static final BatchClaim PEER_CLAIM = new BatchClaim(new EntryIncarnation(PEER, FIRST), 7);

	private static final String[] GUARDS = { "g1", "g2", "g3", "g4", "g5" };

	private final DispatcherFixture fixture = claimingFixture();

	private static DispatcherFixture claimingFixture() {
		DispatcherFixture fixture = new DispatcherFixture();
		fixture.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		fixture.advance(4_000);
		fixture.dispatcher.onGuardsListed(ids(GUARDS), fixture.now());
		Arrays.stream(GUARDS).forEach((guard) -> fixture.connectGuard(guard, DispatcherFixture.CAPACITY, Set.of()));
		return fixture;
	}

	@Example
	void asksThreeGuardsAndStartsAfterTheirAnswers() {
		this.fixture.submit("b1", 1);
		List<GuardId> keepers = asked();
		assertThat(keepers).hasSize(3);
		answerFree(keepers.get(0));
		assertThat(this.fixture.starts()).isEmpty();
		answerFree(keepers.get(2));
		assertThat(this.fixture.starts()).isEmpty();
		answerFree(keepers.get(1));
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against a batch that waits for a guard that stands still.
	@Example
	void startsAfterTwoAnswersIfTheThirdGuardDoesNotAnswerWithin20Millis() {
		this.fixture.submit("b1", 1);
		answerFree(asked().get(0));
		answerFree(asked().get(2));
		this.fixture.advance(10);
		assertThat(this.fixture.starts()).isEmpty();
		this.fixture.advance(10);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against an entry that stands still and starts a batch before it reads the
	// answer that names another entry.
	@Example
	void waitsForTheThirdGuardAgainAfterItHasStoodStill() {
		CallerRef caller = this.fixture.submit("b1", 1);
		answerFree(asked().get(0));
		answerFree(asked().get(2));
		this.fixture.standStill(150);
		assertThat(this.fixture.starts()).isEmpty();
		answerHeld(asked().get(1), PEER_CLAIM, 300);
		this.fixture.advance(50);
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	@Example
	void waitsForTheThirdGuardIfItReadsTwoAnswersAfterItHasStoodStill() {
		this.fixture.submit("b1", 1);
		this.fixture.skip(150);
		answerFree(asked().get(0));
		answerFree(asked().get(2));
		assertThat(this.fixture.starts()).isEmpty();
		answerHeld(asked().get(1), PEER_CLAIM, 300);
		this.fixture.advance(50);
		assertThat(this.fixture.starts()).isEmpty();
	}

	@Example
	void startsAfterTwoAnswersWhen20MillisHavePassedSinceAStandstill() {
		this.fixture.submit("b1", 1);
		answerFree(asked().get(0));
		answerFree(asked().get(2));
		this.fixture.standStill(100);
		this.fixture.advance(20);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against one answer that counts as a majority after the time of the others.
	@Example
	void startsNothingAfterOneAnswer() {
		this.fixture.submit("b1", 1);
		answerFree(asked().get(0));
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).isEmpty();
	}

	@Example
	void startsAfterTwoAnswersIfTheThirdGuardIsNotConnected() {
		this.fixture.submit("b1", 1);
		answerFree(asked().get(0));
		answerFree(asked().get(1));
		this.fixture.dispatcher.onGuardLost(asked().get(2), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against a line for each batch, and against a record that does not tell how a
	// claim was granted or whether two entries knew the same guards.
	@Example
	void reportsOnlyClaimsThatTheirKeepersHaveNotGranted() {
		this.fixture.submit("b1", 1);
		asked().forEach(this::answerFree);
		assertThat(this.fixture.starts()).hasSize(1);
		assertThat(this.fixture.notices(NoticeKind.BATCH_CLAIMED)).isEmpty();
	}

	@Example
	void reportsAClaimWhileNoGuardIsListed() {
		DispatcherFixture other = new DispatcherFixture();
		other.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		other.submit("b1", 1);
		assertThat(other.notices(NoticeKind.BATCH_CLAIMED)).hasSize(1);
		assertThat(other.notices(NoticeKind.BATCH_CLAIMED).get(0).detail()).startsWith("no guard is listed, number ")
			.contains(" after 0 ms, 0 guards (0), 1 entries (");
	}

	@Example
	void reportsTheGuardsAndEntriesOfClaimsWhenTheyChange() {
		DispatcherFixture other = new DispatcherFixture();
		other.dispatcher.onGuardsListed(ids("g5", "g3", "g1", "g4", "g2"), other.now());
		String members = other.notices(NoticeKind.CLAIM_MEMBERS_CHANGED).get(0).detail();
		assertThat(members).startsWith("5 guards (");
		assertThat(this.fixture.notices(NoticeKind.CLAIM_MEMBERS_CHANGED)).extracting(Notice::detail)
			.containsExactly("0 guards (0)" + members.substring(members.indexOf(',')), members);
		other.dispatcher.onGuardsListed(ids("g2", "g1", "g3", "g4", "g5"), other.now());
		assertThat(other.notices(NoticeKind.CLAIM_MEMBERS_CHANGED)).hasSize(1);
		other.dispatcher.onGuardsListed(ids("g2", "g1", "g3", "g4"), other.now());
		other.advance(16_000);
		assertThat(other.notices(NoticeKind.CLAIM_MEMBERS_CHANGED)).hasSize(2);
		assertThat(other.notices(NoticeKind.CLAIM_MEMBERS_CHANGED).get(1).detail()).startsWith("4 guards (");
	}

	@Example
	void asksTheSameGuardsAtEachEntryWhateverTheOrderOfTheirLinks() {
		this.fixture.submit("b1", 1);
		DispatcherFixture other = new DispatcherFixture();
		other.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		other.advance(4_000);
		other.dispatcher.onGuardsListed(ids("g5", "g3", "g1", "g4", "g2"), other.now());
		List.of("g4", "g2", "g5", "g1", "g3")
			.forEach((guard) -> other.connectGuard(guard, DispatcherFixture.CAPACITY, Set.of()));
		other.submit("b1", 1);
		assertThat(asked(other)).isEqualTo(asked());
	}

	// Guards against a request that was held on its way and starts the tasks of a batch
	// that its caller has submitted to another entry in the meantime.
	@Example
	void startsNothingIfAnotherEntryHasJustClaimedTheBatch() {
		CallerRef caller = this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 215);
		answerFree(asked().get(1));
		answerFree(asked().get(2));
		this.fixture.advance(2_000);
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(this.fixture.notices(NoticeKind.BATCH_CLAIM_DENIED)).hasSize(1);
	}

	@Example
	void requestsTheReleaseFromAConnectedEntryThatHasNotAnnouncedTheBatch() {
		this.fixture.dispatcher.onEntryConnected(PEER, FIRST, this.fixture.now());
		CallerRef caller = this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		assertThat(this.fixture.peerMessages).last()
			.isEqualTo(new DispatcherFixture.PeerMessage(PEER, new ReleaseBatch(BATCH)));
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).isEmpty();
		this.fixture.sentMessages.clear();
		receiveFromPeer(new HeldBatches(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.sentMessages)
			.allMatch((sent) -> ((ClaimBatch) sent.message()).replaced().equals(Optional.of(PEER_CLAIM)))
			.hasSize(GUARDS.length);
		Arrays.stream(GUARDS).forEach((guard) -> answerFree(new GuardId(guard)));
		assertThat(this.fixture.starts()).hasSize(1);
		assertClaimed("after a release, number ");
		this.fixture.endRun(startedAt(), this.fixture.starts().get(0), RunOutcome.DONE);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.COMPLETED);
	}

	// Guards against the replacement of a claim for an end that was announced before the
	// claim was made, and read late.
	@Example
	void takesNoEarlierEndForTheReleaseOfAClaim() {
		this.fixture.dispatcher.onEntryConnected(PEER, FIRST, this.fixture.now());
		this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		receiveFromPeer(new HeldBatches(false, List.of(BATCH), List.of()));
		Arrays.stream(GUARDS).limit(4).forEach((guard) -> answerFree(new GuardId(guard)));
		assertThat(this.fixture.starts()).isEmpty();
		answerHeld(new GuardId(GUARDS[4]), PEER_CLAIM, 1_300);
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against a second run if the entry that releases a batch is lost before it
	// has confirmed the end: its claim is not replaced without proof.
	@Example
	void replacesNoClaimOfAnEntryThatIsLostBeforeItHasReleasedTheBatch() {
		this.fixture.dispatcher.onEntryConnected(PEER, FIRST, this.fixture.now());
		this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		this.fixture.sentMessages.clear();
		this.fixture.dispatcher.onEntryLost(PEER, FIRST, this.fixture.now());
		this.fixture.advance(600);
		assertThat(this.fixture.sentMessages).isNotEmpty()
			.allMatch((sent) -> ((ClaimBatch) sent.message()).replaced().isEmpty());
	}

	// Guards against a second run while the link to the entry that has the batch is away.
	@Example
	void takesABatchOverFromAnEntryThatIsNotConnected() {
		CallerRef caller = this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		assertThat(takeOvers()).hasSize(GUARDS.length);
		Arrays.stream(GUARDS).skip(1).forEach((guard) -> answerTakeOver(guard, true));
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).isEmpty();
		answerTakeOver(GUARDS[0], true);
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
		assertThat(this.fixture.starts()).hasSize(1);
		assertClaimed("after a take-over, number ");
		assertThat(this.fixture.verdict(caller)).isNull();
	}

	// Guards against a second run by the next incarnation of an entry whose runs have not
	// ended.
	@Example
	void takesABatchOverFromItsOwnFormerIncarnation() {
		this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), new BatchClaim(new EntryIncarnation(SELF, FIRST), 3), 300);
		assertThat(takeOvers()).hasSize(GUARDS.length);
	}

	@Example
	void givesABatchUpThatALaterEntryHasTakenOver() {
		CallerRef caller = this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		answerTakeOver("g2", false);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against a start order of a lost guard that its endpoint carries out late.
	@Example
	void doesNotTakeABatchOverWhileALostGuardMayStillStartIt() {
		this.fixture.dispatcher.onGuardLost(new GuardId("g5"), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.submit("/q/b1", new BatchRequest(BATCH, "spec",
				new TaskGroup(1, DispatcherFixture.NEEDS, 200, "", "", 0), 60_000, Optional.empty()));
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		List.of("g1", "g2", "g3", "g4").forEach((guard) -> answerTakeOver(guard, true));
		this.fixture.advance(13_900);
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against a second run beside one that the other entry has just started at a
	// guard to which this entry has had no link for long.
	@Example
	void doesNotTakeABatchOverWhileAnAnnouncedGuardHasHadNoLinkForLong() {
		this.fixture.dispatcher.onGuardLost(new GuardId("g5"), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.advance(30_000);
		this.fixture.submit("/q/b1", new BatchRequest(BATCH, "spec",
				new TaskGroup(1, DispatcherFixture.NEEDS, 200, "", "", 0), 60_000, Optional.empty()));
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		List.of("g1", "g2", "g3", "g4").forEach((guard) -> answerTakeOver(guard, true));
		this.fixture.advance(13_900);
		assertThat(this.fixture.starts()).isEmpty();
		this.fixture.advance(200);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	@Example
	void takesABatchOverAtOnceIfALostGuardIsNoLongerAnnounced() {
		this.fixture.dispatcher.onGuardLost(new GuardId("g5"), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.dispatcher.onGuardsListed(ids("g1", "g2", "g3", "g4"), this.fixture.now());
		this.fixture.advance(30_000);
		this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		List.of("g1", "g2", "g3", "g4").forEach((guard) -> answerTakeOver(guard, true));
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
		assertThat(this.fixture.starts()).hasSize(1);
	}

	@Example
	void refusesNoBatchAsNotRunThatAnotherEntryHasClaimed() {
		CallerRef caller = this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		this.fixture.advance(3_000);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against the answer "not run" while the guards that may know of another entry
	// do not respond.
	@Example
	void refusesNoBatchAsNotRunWhoseClaimIsNotAnswered() {
		CallerRef caller = this.fixture.submit("b1", 1);
		answerFree(asked().get(0));
		this.fixture.advance(2_990);
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	@Example
	void refusesABatchAsNotRunWhoseClaimWasGranted() {
		Arrays.stream(GUARDS)
			.forEach((guard) -> this.fixture.reportLoad(guard, DispatcherFixture.CAPACITY, new ResourceAmounts(0, 0, 0),
					Set.of(), 0));
		CallerRef caller = this.fixture.submit("b1", 1);
		asked().forEach(this::answerFree);
		this.fixture.advance(2_990);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.OVERLOADED);
	}

	// Guards against a claim that waits for a guard that was connected before it was
	// listed.
	@Example
	void asksAGuardThatIsListedAfterItsLinkWasMade() {
		this.fixture.dispatcher.onGuardsListed(ids("g1", "g2", "g3"), this.fixture.now());
		this.fixture.submit("b1", 1);
		asked().forEach((guard) -> answer(guard, new ClaimAnswer(BATCH, claimNumber(BATCH), false, Optional.empty())));
		assertThat(this.fixture.starts()).hasSize(1);
		this.fixture.submit("b2", 1);
		assertThat(asked()).doesNotContain(new GuardId("g4"));
		this.fixture.dispatcher.onGuardsListed(ids("g1", "g2", "g3", "g4"), this.fixture.now());
		assertThat(asked()).contains(new GuardId("g4"));
	}

	@Example
	void givesABatchUpIfAGuardRefusesItsStartBecauseOfAClaim() {
		CallerRef caller = this.fixture.submit("b1", 1);
		asked().forEach(this::answerFree);
		this.fixture.endRun(startedAt(), this.fixture.starts().get(0), RunOutcome.CLAIMED);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against a second run when the caller returns before the take-over has ended:
	// the guards name this entry as the one that has the batch.
	@Example
	void doesNotStartABatchWhoseTakeOverHasNotEndedWhenItsCallerReturns() {
		this.fixture.dispatcher.onGuardLost(new GuardId("g5"), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), PEER_CLAIM, 1_300);
		assertThat(takeOvers()).hasSize(4);
		this.fixture.advance(4_300);
		CallerRef caller = this.fixture.submit("b1", 1);
		List.of("g1", "g2", "g3", "g4").forEach((guard) -> answerFree(new GuardId(guard)));
		assertThat(this.fixture.starts()).isEmpty();
		List.of("g1", "g2", "g3", "g4").forEach((guard) -> answerTakeOver(guard, true));
		this.fixture.advance(2_990);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		this.fixture.advance(7_000);
		this.fixture.submit("b1", 1);
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
		asked().forEach(this::answerFree);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	// Guards against a third entry that starts a batch while its take-over by this one
	// has
	// not ended.
	@Example
	void confirmsTheReleaseOfABatchOnlyAfterItsTakeOverHasEnded() {
		this.fixture.dispatcher.onEntryConnected(PEER, FIRST, this.fixture.now());
		this.fixture.submit("b1", 1);
		answerHeld(asked().get(0), new BatchClaim(new EntryIncarnation(new EntryId("e3"), FIRST), 7), 1_300);
		receiveFromPeer(new ReleaseBatch(BATCH));
		this.fixture.advance(200);
		DispatcherFixture.PeerMessage ended = new DispatcherFixture.PeerMessage(PEER,
				new HeldBatches(false, List.of(BATCH), List.of()));
		assertThat(this.fixture.peerMessages).doesNotContain(ended);
		Arrays.stream(GUARDS).forEach((guard) -> answerTakeOver(guard, true));
		assertThat(this.fixture.peerMessages).contains(ended);
	}

	// Guards against guards that have restarted and forgotten the claims.
	@Example
	void asksAllGuardsIfTwoOfThreeMayHaveForgottenClaims() {
		this.fixture.submit("b1", 1);
		List<GuardId> keepers = asked();
		answer(keepers.get(0), new ClaimAnswer(BATCH, claimNumber(BATCH), false, Optional.empty()));
		assertThat(asked()).hasSize(3);
		answer(keepers.get(1), new ClaimAnswer(BATCH, claimNumber(BATCH), false, Optional.empty()));
		List<GuardId> all = asked();
		assertThat(all).hasSize(GUARDS.length);
		answerFree(keepers.get(2));
		assertThat(this.fixture.starts()).isEmpty();
		all.stream().filter((guard) -> !keepers.contains(guard)).forEach(this::answerFree);
		assertThat(this.fixture.starts()).hasSize(1);
		assertClaimed("by all guards, number ");
	}

	// Guards against guards that were not asked for the claims of batches in progress,
	// and
	// outnumber the keepers that were.
	@Example
	void asksAllGuardsWhileMostKeepersHaveJustBeenListed() {
		DispatcherFixture joining = new DispatcherFixture();
		joining.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		joining.dispatcher.onGuardsListed(ids("g1"), joining.now());
		joining.dispatcher.onGuardsListed(ids(GUARDS), joining.now());
		Arrays.stream(GUARDS).forEach((guard) -> joining.connectGuard(guard, DispatcherFixture.CAPACITY, Set.of()));
		joining.advance(14_990);
		joining.submit("b1", 1);
		answerAllAsked(joining, BATCH);
		assertThat(joining.starts()).isEmpty();
		assertThat(asked(joining)).hasSize(GUARDS.length);
		joining.advance(10);
		joining.sentMessages.clear();
		joining.submit("b2", 1);
		answerAllAsked(joining, new BatchId("b2"));
		assertThat(joining.starts()).hasSize(1);
	}

	private static void answerAllAsked(DispatcherFixture fixture, BatchId batch) {
		List<DispatcherFixture.SentMessage> claims = fixture.sentMessages.stream()
			.filter((sent) -> sent.message() instanceof ClaimBatch)
			.toList();
		claims.forEach((sent) -> fixture.dispatcher.onMessage(sent.guard(), DispatcherFixture.INCARNATION,
				new ClaimAnswer(batch, ((ClaimBatch) sent.message()).number(), true, Optional.empty()), fixture.now()));
		fixture.dispatcher.placeIfDue(fixture.now());
	}

	// Guards against two entries that are cut off from each other, each with some of the
	// guards, and that both take the guards on the other side for lost.
	@Example
	void startsNothingWhileMostKeepersAreAway() {
		CallerRef caller = this.fixture.submit("/q/b1", new BatchRequest(BATCH, "spec",
				new TaskGroup(1, DispatcherFixture.NEEDS, 9_000, "", "", 0), 60_000, Optional.empty()));
		List<GuardId> keepers = asked();
		keepers.stream()
			.skip(1)
			.forEach((guard) -> this.fixture.dispatcher.onGuardLost(guard, DispatcherFixture.INCARNATION,
					this.fixture.now()));
		asked().forEach(this::answerFree);
		this.fixture.advance(490);
		assertThat(this.fixture.verdict(caller)).isNull();
		this.fixture.advance(20);
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against a site that refuses a part of its batches while some guards are
	// down.
	@Example
	void startsABatchWhoseKeepersAreAwayWhenAllOtherEntriesDoNotHaveIt() {
		connectEntries();
		this.fixture.advance(11_000);
		loseKeepersOf("b1");
		this.fixture.advance(3_000);
		this.fixture.peerMessages.clear();
		this.fixture.submit("b1", 1);
		assertThat(entriesAsked()).containsExactly(PEER, THIRD);
		answerOfEntry(PEER, true, Optional.empty());
		assertThat(this.fixture.starts()).isEmpty();
		answerOfEntry(THIRD, true, Optional.empty());
		assertThat(this.fixture.starts()).hasSize(1);
		assertClaimed("by the other entries, number ");
	}

	// Guards against a second run: one of the other entries has the batch, has just
	// started, or can't be asked.
	@Example
	void startsNoBatchWhoseKeepersAreAwayWithoutTheAnswerOfEachEntry() {
		connectEntries();
		this.fixture.advance(11_000);
		loseKeepersOf("b1");
		this.fixture.advance(3_000);
		CallerRef held = this.fixture.submit("b1", 1);
		answerOfEntry(PEER, true, Optional.empty());
		answerOfEntry(THIRD, true, Optional.of(new BatchHolder(PEER_CLAIM, 100)));
		assertThat(this.fixture.verdict(held)).isEqualTo(BatchVerdict.UNFINISHED);
		CallerRef incomplete = this.fixture.submit("b1", 1);
		answerOfEntry(PEER, true, Optional.empty());
		answerOfEntry(THIRD, false, Optional.empty());
		this.fixture.advance(500);
		assertThat(this.fixture.verdict(incomplete)).isEqualTo(BatchVerdict.UNFINISHED);
		this.fixture.dispatcher.onEntryLost(THIRD, FIRST, this.fixture.now());
		CallerRef lost = this.fixture.submit("b1", 1);
		answerOfEntry(PEER, true, Optional.empty());
		assertThat(this.fixture.verdict(lost)).isEqualTo(BatchVerdict.UNFINISHED);
		assertThat(this.fixture.starts()).isEmpty();
	}

	// Guards against a second run of a batch that an entry has whose announcement has not
	// been read yet.
	@Example
	void startsNoBatchWithoutTheAnswerOfAConnectedEntryThatIsNotListed() {
		this.fixture.dispatcher.onEntriesListed(Set.of(PEER), this.fixture.now());
		this.fixture.dispatcher.onEntryConnected(PEER, FIRST, this.fixture.now());
		this.fixture.advance(11_000);
		this.fixture.dispatcher.onEntryConnected(THIRD, FIRST, this.fixture.now());
		loseKeepersOf("b1");
		this.fixture.advance(3_000);
		this.fixture.peerMessages.clear();
		CallerRef caller = this.fixture.submit("b1", 1);
		assertThat(entriesAsked()).containsExactly(PEER, THIRD);
		answerOfEntry(PEER, true, Optional.empty());
		assertThat(this.fixture.starts()).isEmpty();
		answerOfEntry(THIRD, true, Optional.of(new BatchHolder(PEER_CLAIM, 100)));
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(this.fixture.verdict(caller)).isEqualTo(BatchVerdict.UNFINISHED);
	}

	// Guards against an entry that starts a batch that it has granted to another one.
	@Example
	void startsNoBatchThatItHasGrantedToAnotherEntry() {
		connectEntries();
		receiveFromPeer(new ClaimBatch(BATCH, 7, 20_000, Optional.empty()));
		this.fixture.dispatcher.onEntryLost(PEER, FIRST, this.fixture.now());
		this.fixture.advance(1_300);
		this.fixture.submit("b1", 1);
		asked().forEach(this::answerFree);
		assertThat(this.fixture.starts()).isEmpty();
		assertThat(takeOvers()).hasSize(GUARDS.length);
	}

	@Example
	void tellsAnEntryThatClaimsABatchWhoHasIt() {
		connectEntries();
		this.fixture.advance(11_000);
		receiveFromPeer(new ClaimBatch(BATCH, 7, 20_000, Optional.empty()));
		assertThat(lastAnswerTo(PEER)).isEqualTo(new ClaimAnswer(BATCH, 7, true, Optional.empty()));
		this.fixture.advance(100);
		this.fixture.dispatcher.onEntryMessage(THIRD, FIRST, new ClaimBatch(BATCH, 9, 20_000, Optional.empty()),
				this.fixture.now());
		assertThat(lastAnswerTo(THIRD))
			.isEqualTo(new ClaimAnswer(BATCH, 9, true, Optional.of(new BatchHolder(PEER_CLAIM, 100))));
		this.fixture.submit("b2", 1);
		BatchId own = new BatchId("b2");
		receiveFromPeer(new ClaimBatch(own, 8, 20_000, Optional.empty()));
		assertThat(((ClaimAnswer) lastAnswerTo(PEER)).holder().map((holder) -> holder.claim().entry()))
			.contains(DispatcherFixture.incarnationOf("e1"));
	}

	// Guards against an entry that has just started and vouches for batches of its former
	// incarnation.
	@Example
	void answersAsIncompleteWhileItHasJustStarted() {
		connectEntries();
		receiveFromPeer(new ClaimBatch(BATCH, 7, 20_000, Optional.empty()));
		assertThat(lastAnswerTo(PEER)).isEqualTo(new ClaimAnswer(BATCH, 7, false, Optional.empty()));
	}

	@Example
	void asksTheOtherEntriesIfTheKeepersDoNotAnswer() {
		connectEntries();
		this.fixture.advance(11_000);
		this.fixture.submit("b1", 1);
		assertThat(entriesAsked()).isEmpty();
		this.fixture.advance(50);
		assertThat(entriesAsked()).containsExactly(PEER, THIRD);
	}

	@Example
	void asksAKeeperAgainOnANewLink() {
		this.fixture.submit("b1", 1);
		List<GuardId> keepers = asked();
		this.fixture.dispatcher.onGuardLost(keepers.get(0), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.dispatcher.onGuardLost(keepers.get(1), DispatcherFixture.INCARNATION, this.fixture.now());
		this.fixture.sentMessages.clear();
		this.fixture.connectGuard(keepers.get(0).value(), DispatcherFixture.CAPACITY, Set.of());
		assertThat(asked()).contains(keepers.get(0));
	}

	@Example
	void startsWithoutAClaimWhileNoGuardKnowsClaims() {
		DispatcherFixture plain = DispatcherFixture.withGuards("g1");
		plain.submit("b1", 1);
		assertThat(plain.starts()).hasSize(1);
	}

	// Guards against a batch that an entry accepts before it knows the guards, and starts
	// without a claim when it does.
	@Example
	void claimsABatchThatWasAcceptedBeforeTheGuardsWereListed() {
		DispatcherFixture starting = new DispatcherFixture();
		starting.dispatcher.applyRoutes(DispatcherFixture.routes(1, "/q/"));
		starting.submit("b1", 1);
		starting.dispatcher.onGuardsListed(ids(GUARDS), starting.now());
		Arrays.stream(GUARDS).forEach((guard) -> starting.connectGuard(guard, DispatcherFixture.CAPACITY, Set.of()));
		assertThat(starting.starts()).isEmpty();
		assertThat(asked(starting)).isNotEmpty();
	}

	// Guards against an answer to an earlier claim of the same batch, which says nothing
	// about what has happened since.
	@Example
	void ignoresTheAnswerToAnEarlierClaimOfTheBatch() {
		CallerRef caller = this.fixture.submit("b1", 1);
		long earlier = claimNumber(BATCH);
		this.fixture.dispatcher.onCallerDisconnected(caller, this.fixture.now());
		this.fixture.advance(10);
		this.fixture.submit("b1", 1);
		asked().forEach((guard) -> answer(guard, new ClaimAnswer(BATCH, earlier, true, Optional.empty())));
		assertThat(this.fixture.starts()).isEmpty();
		asked().forEach(this::answerFree);
		assertThat(this.fixture.starts()).hasSize(1);
	}

	@Example
	void startsNothingForACallerThatDisconnectsBeforeTheClaimIsGranted() {
		CallerRef caller = this.fixture.submit("b1", 1);
		this.fixture.dispatcher.onCallerDisconnected(caller, this.fixture.now());
		asked().forEach(this::answerFree);
		this.fixture.advance(100);
		assertThat(this.fixture.starts()).isEmpty();
	}

	private void assertClaimed(String way) {
		assertThat(this.fixture.notices(NoticeKind.BATCH_CLAIMED)).singleElement()
			.satisfies((notice) -> assertThat(notice.subject()).isEqualTo(BATCH.value()))
			.satisfies((notice) -> assertThat(notice.detail()).startsWith(way).contains("keepers g", ", free at "));
	}

	private void connectEntries() {
		this.fixture.dispatcher.onEntriesListed(Set.of(PEER, THIRD), this.fixture.now());
		this.fixture.dispatcher.onEntryConnected(PEER, FIRST, this.fixture.now());
		this.fixture.dispatcher.onEntryConnected(THIRD, FIRST, this.fixture.now());
	}

	private void loseKeepersOf(String batch) {
		this.fixture.submit(batch, 1);
		List<GuardId> keepers = asked();
		keepers.stream()
			.skip(1)
			.forEach((guard) -> this.fixture.dispatcher.onGuardLost(guard, DispatcherFixture.INCARNATION,
					this.fixture.now()));
	}

	private List<EntryId> entriesAsked() {
		return this.fixture.peerMessages.stream()
			.filter((sent) -> sent.message() instanceof ClaimBatch)
			.map(DispatcherFixture.PeerMessage::entry)
			.toList();
	}

	private void answerOfEntry(EntryId entry, boolean complete, Optional<BatchHolder> holder) {
		this.fixture.dispatcher.onEntryMessage(entry, FIRST,
				new ClaimAnswer(BATCH, claimNumber(BATCH), complete, holder), this.fixture.now());
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
	}

	private Message lastAnswerTo(EntryId entry) {
		return this.fixture.peerMessages.stream()
			.filter((sent) -> sent.entry().equals(entry) && sent.message() instanceof ClaimAnswer)
			.map(DispatcherFixture.PeerMessage::message)
			.reduce((first, second) -> second)
			.orElseThrow();
	}

	private List<GuardId> asked() {
		return asked(this.fixture);
	}

	private static List<GuardId> asked(DispatcherFixture fixture) {
		return fixture.sentMessages.stream()
			.filter((sent) -> sent.message() instanceof ClaimBatch)
			.map(DispatcherFixture.SentMessage::guard)
			.toList();
	}

	private long claimNumber(BatchId batch) {
		return Stream
			.concat(this.fixture.sentMessages.stream().map(DispatcherFixture.SentMessage::message),
					this.fixture.peerMessages.stream().map(DispatcherFixture.PeerMessage::message))
			.filter((message) -> message instanceof ClaimBatch claim && claim.batch().equals(batch))
			.mapToLong((message) -> ((ClaimBatch) message).number())
			.max()
			.orElseThrow();
	}

	private List<TakeOverBatch> takeOvers() {
		return this.fixture.sentMessages.stream()
			.map(DispatcherFixture.SentMessage::message)
			.filter(TakeOverBatch.class::isInstance)
			.map(TakeOverBatch.class::cast)
			.toList();
	}

	private String startedAt() {
		return Arrays.stream(GUARDS).filter((guard) -> !this.fixture.starts(guard).isEmpty()).findFirst().orElseThrow();
	}

	private void answerFree(GuardId guard) {
		answer(guard, new ClaimAnswer(BATCH, claimNumber(BATCH), true, Optional.empty()));
	}

	private void answerHeld(GuardId guard, BatchClaim claim, long ageMillis) {
		answer(guard, new ClaimAnswer(BATCH, claimNumber(BATCH), true, Optional.of(new BatchHolder(claim, ageMillis))));
	}

	private void answerTakeOver(String guard, boolean granted) {
		answer(new GuardId(guard), new TakeOverAnswer(BATCH, takeOvers().get(0).number(), granted));
	}

	private void answer(GuardId guard, Message message) {
		this.fixture.dispatcher.onMessage(guard, DispatcherFixture.INCARNATION, message, this.fixture.now());
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
	}

	private void receiveFromPeer(Message message) {
		this.fixture.dispatcher.onEntryMessage(PEER, FIRST, message, this.fixture.now());
		this.fixture.dispatcher.placeIfDue(this.fixture.now());
	}

	private static Set<GuardId> ids(String... guards) {
		Set<GuardId> ids = new LinkedHashSet<>();
		Arrays.stream(guards).forEach((guard) -> ids.add(new GuardId(guard)));
		return ids;
	}

}
