package io.coriandermux.core.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two entries that both start the tasks of a batch because neither has
 * heard of the other.
 */
class BatchClaimsTests {

	private static final BatchId BATCH = new BatchId("b1");

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	private static final long KEEP_MILLIS = 20_000;

	private static final EntryIncarnation FIRST = LeaseManagerHarness.OWNER;

	private static final EntryIncarnation FIRST_RESTARTED = new EntryIncarnation(LeaseManagerHarness.ENTRY,
			new Incarnation(2));

	private static final EntryIncarnation SECOND = new EntryIncarnation(LeaseManagerHarness.SECOND_ENTRY,
			LeaseManagerHarness.ENTRY_INCARNATION);

	private static final EntryIncarnation THIRD = new EntryIncarnation(new EntryId("entry-3"),
			LeaseManagerHarness.ENTRY_INCARNATION);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	private final Map<EntryIncarnation, Long> grantedNumbers = new LinkedHashMap<>();

	private long lastNumber;

	private long secondOrder;

	// Guards against two entries that both start the batch.
	@Example
	void grantsABatchToOneEntryAndNamesItToAnyOther() {
		completeGuard();
		assertThat(claim(FIRST)).isEqualTo(granted());
		this.harness.advance(1_300);
		assertThat(claim(SECOND)).isEqualTo(heldBy(FIRST, 1_300));
		assertThat(claim(THIRD)).isEqualTo(heldBy(FIRST, 1_300));
	}

	// Guards against an entry that is kept out by its own claim because an answer was
	// lost.
	@Example
	void grantsAClaimAgainToTheSameIncarnation() {
		completeGuard();
		claim(FIRST);
		this.harness.advance(100);
		assertThat(claim(FIRST)).isEqualTo(granted());
		this.harness.advance(100);
		assertThat(claim(SECOND)).isEqualTo(heldBy(FIRST, 100));
	}

	// Guards against a restarted entry that starts a batch whose former runs it does not
	// know.
	@Example
	void namesTheFormerIncarnationToARestartedEntry() {
		completeGuard();
		claim(FIRST);
		assertThat(claim(FIRST_RESTARTED)).isEqualTo(heldBy(FIRST, 0));
	}

	// Guards against an entry that replaces a claim other than the one that was released.
	@Example
	void replacesOnlyTheClaimThatIsNamed() {
		completeGuard();
		claim(FIRST);
		assertThat(claim(SECOND, Optional.of(THIRD))).isEqualTo(heldBy(FIRST, 0));
		assertThat(claim(SECOND, Optional.of(FIRST))).isEqualTo(granted());
		assertThat(claim(THIRD, Optional.of(FIRST))).isEqualTo(heldBy(SECOND, 0));
		assertThat(claim(FIRST)).isEqualTo(heldBy(SECOND, 0));
	}

	// Guards against the replacement of a claim that the other entry has made after it
	// had
	// released the batch.
	@Example
	void replacesNoClaimThatWasMadeSince() {
		completeGuard();
		claim(FIRST);
		BatchClaim released = claimOf(FIRST);
		claim(FIRST);
		this.harness.advance(100);
		assertThat(claim(SECOND, 9, Optional.of(released))).isEqualTo(heldBy(FIRST, 100));
	}

	@Example
	void countsTheAgeOfARepeatedClaimFromTheFirstTime() {
		completeGuard();
		claim(FIRST, 1, Optional.empty());
		this.harness.advance(1_000);
		claim(FIRST, 1, Optional.empty());
		assertThat(claim(SECOND)).isEqualTo(heldBy(FIRST, 1_000));
	}

	// Guards against an entry that is refused a batch for a claim that it has replaced
	// since.
	@Example
	void namesAClaimOnlyOnceAsTheReasonOfARefusedStart() {
		completeGuard();
		claim(FIRST);
		startFromSecondEntry(RUN);
		assertThat(answers(RunEnded.class)).last().isEqualTo(new RunEnded(RUN, RunOutcome.CLAIMED, 0));
		claim(SECOND, Optional.of(FIRST));
		startFromSecondEntry(RUN);
		assertThat(answers(RunEnded.class)).last().isEqualTo(new RunEnded(RUN, RunOutcome.NOT_STARTED, 0));
	}

	// Guards against an entry that counts a run of the released batch as ended although
	// it
	// still holds resources.
	@Example
	void doesNotReplaceAClaimWhileARunIsHeld() {
		completeGuard();
		claim(FIRST);
		this.harness.startRunning(RUN);
		this.harness.advance(50);
		assertThat(claim(SECOND, Optional.of(FIRST))).isEqualTo(heldBy(FIRST, 50));
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(claim(SECOND, Optional.of(FIRST))).isEqualTo(granted());
	}

	// Guards against a claim that is granted because the guard does not keep the claim of
	// the entry whose runs it has.
	@Example
	void namesTheEntryOfTheOldestRunIfThereIsNoClaim() {
		completeGuard();
		this.harness.startRunning(RUN);
		this.harness.advance(200);
		this.harness.startRunning(new RunId(BATCH, 0, 1, 1));
		this.harness.advance(100);
		assertThat(claim(SECOND)).isEqualTo(heldBy(FIRST, 300));
		assertThat(claim(FIRST)).isEqualTo(granted());
	}

	// Guards against a restarted guard that has forgotten a claim and counts for a
	// majority.
	@Example
	void isIncompleteUntilForgottenClaimsDoNotMatter() {
		this.harness.advance(15_000);
		assertThat(claim(FIRST)).isEqualTo(new ClaimAnswer(BATCH, this.lastNumber, false, Optional.empty()));
		assertThat(claim(SECOND))
			.isEqualTo(new ClaimAnswer(BATCH, this.lastNumber, false, Optional.of(new BatchHolder(claimOf(FIRST), 0))));
		this.harness.advance(10);
		assertThat(claim(FIRST)).isEqualTo(granted());
	}

	// Guards against batches that can't start because a keeper's endpoint is down.
	@Example
	void answersClaimsWithoutAnEndpointAndWithoutAConfirmedSession() {
		LeaseManagerHarness unsettled = new LeaseManagerHarness();
		unsettled.leaseManager.onEntryConnected(FIRST.entry(), FIRST.incarnation(), unsettled.now());
		unsettled.entryConfirmsPings = false;
		unsettled.advance(15_010);
		unsettled.leaseManager.onMessage(FIRST.entry(), FIRST.incarnation(),
				new ClaimBatch(BATCH, 1, KEEP_MILLIS, Optional.empty()), unsettled.now());
		assertThat(unsettled.messages).contains(new ClaimAnswer(BATCH, 1, true, Optional.empty()));
	}

	// Guards against a memory that grows with each batch.
	@Example
	void forgetsAClaimAfterItsTime() {
		completeGuard();
		claim(FIRST);
		this.harness.advance(KEEP_MILLIS - 10);
		assertThat(claim(SECOND)).isEqualTo(heldBy(FIRST, KEEP_MILLIS - 10));
		this.harness.advance(10);
		assertThat(claim(SECOND)).isEqualTo(granted());
	}

	// Guards against a claim that ends while its entry still starts runs.
	@Example
	void keepsAClaimLongerAfterAStart() {
		completeGuard();
		claim(FIRST);
		runFor(KEEP_MILLIS - 1_000);
		this.harness.startRunning(RUN);
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		this.harness.advance(KEEP_MILLIS - 1_000);
		assertThat(claim(SECOND).holder()).isPresent();
		this.harness.advance(1_000);
		assertThat(claim(SECOND)).isEqualTo(granted());
	}

	// Guards against a second entry that is granted a batch in progress.
	@Example
	void keepsAClaimWhileARunIsHeld() {
		completeGuard();
		claim(FIRST);
		runFor(KEEP_MILLIS - 1_000);
		this.harness.startRunning(RUN);
		runFor(KEEP_MILLIS + 1_000);
		assertThat(claim(SECOND)).isEqualTo(heldBy(FIRST, 2 * KEEP_MILLIS));
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(claim(SECOND)).isEqualTo(granted());
	}

	// Guards against an entry that fills the memory of a guard with claims for ever.
	@Example
	void limitsTheTimeForWhichAClaimIsKept() {
		completeGuard();
		send(FIRST, new ClaimBatch(BATCH, 1, Long.MAX_VALUE, Optional.empty()));
		this.harness.advance(599_990);
		assertThat(claim(SECOND).holder()).isPresent();
		this.harness.advance(10);
		assertThat(claim(SECOND)).isEqualTo(granted());
	}

	// Guards against a guard that runs out of memory, and against a claim that it grants
	// and does not know later.
	@Example
	void doesNotCountForAClaimThatItHasNoRoomFor() {
		completeGuard();
		for (int number = 0; number < BatchClaims.MAX_CLAIMS; number++) {
			send(SECOND, new ClaimBatch(new BatchId("other-" + number), 1, KEEP_MILLIS, Optional.empty()));
		}
		assertThat(claim(FIRST)).isEqualTo(new ClaimAnswer(BATCH, this.lastNumber, false, Optional.empty()));
		assertThat(takeOver(FIRST, 1)).isEqualTo(new TakeOverAnswer(BATCH, 1, false));
		this.harness.advance(KEEP_MILLIS + 1_000);
		assertThat(claim(FIRST)).isEqualTo(granted());
	}

	// Guards against a run of an entry that has not heard of the claim.
	@Example
	void startsNoRunOfABatchThatAnotherEntryHasClaimed() {
		completeGuard();
		claim(SECOND);
		this.harness.requestStart(RUN);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.CLAIMED);
		startFromSecondEntry(RUN);
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(this.harness.outcomesOfSecondEntry(RUN)).isEmpty();
	}

	// Guards against a run that starts after it was reported as not started.
	@Example
	void startsNoRunThatItHasRefusedWhenTheClaimIsForgotten() {
		completeGuard();
		claim(SECOND);
		this.harness.requestStart(RUN);
		this.harness.advance(KEEP_MILLIS);
		this.harness.requestStart(RUN);
		assertThat(this.harness.starts).isEmpty();
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.CLAIMED, RunOutcome.NOT_STARTED);
	}

	// Guards against another task of the batch that starts for a second entry.
	@Example
	void startsNoRunOfABatchWhoseRunsItHoldsForAnotherEntry() {
		RunId otherTask = new RunId(BATCH, 0, 1, 1);
		this.harness.startRunning(RUN);
		startFromSecondEntry(otherTask);
		assertThat(this.harness.outcomesOfSecondEntry(otherTask)).containsExactly(RunOutcome.CLAIMED);
		startFromSecondEntry(OTHER_RUN);
		assertThat(this.harness.starts).containsExactly(RUN, OTHER_RUN);
	}

	// Guards against a restarted entry that starts a task whose former run still has to
	// end.
	@Example
	void startsNoRunWhileOneOfTheFormerIncarnationIsHeld() {
		this.harness.startRunning(RUN);
		this.harness.leaseManager.onEntryConnected(FIRST.entry(), FIRST_RESTARTED.incarnation(), this.harness.now());
		this.harness.messages.clear();
		this.harness.leaseManager.onMessage(FIRST.entry(), FIRST_RESTARTED.incarnation(),
				new StartRun(RUN, "spec", LeaseManagerHarness.NEEDS, 1), this.harness.now());
		assertThat(this.harness.starts).containsExactly(RUN);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.CLAIMED);
	}

	// Guards against a second run while the first one, of an entry that can't be asked,
	// is being stopped.
	@Example
	void grantsATakeOverWhenTheRunsOfOtherEntriesHaveEnded() {
		this.harness.startRunning(RUN);
		this.harness.startRunning(OTHER_RUN);
		assertThat(takeOver(SECOND, 1)).isNull();
		assertThat(this.harness.stops).containsExactly(RUN);
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), this.harness.now());
		assertThat(lastAnswer(SECOND, TakeOverAnswer.class)).isNull();
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1)), List.of());
		assertThat(lastAnswer(SECOND, TakeOverAnswer.class)).isEqualTo(new TakeOverAnswer(BATCH, 1, true));
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.CLAIMED);
		this.harness.requestStart(LeaseManagerHarness.run("b1", 2));
		assertThat(this.harness.outcomes(LeaseManagerHarness.run("b1", 2))).containsExactly(RunOutcome.CLAIMED);
		startFromSecondEntry(LeaseManagerHarness.run("b1", 2));
		assertThat(this.harness.starts).endsWith(LeaseManagerHarness.run("b1", 2));
	}

	// Guards against runs of a previous guard, which may belong to the batch.
	@Example
	void grantsNoTakeOverBeforeItIsSettled() {
		LeaseManagerHarness restarted = new LeaseManagerHarness();
		restarted.connect(FIRST.entry());
		restarted.leaseManager.onMessage(FIRST.entry(), FIRST.incarnation(), new TakeOverBatch(BATCH, 1, KEEP_MILLIS),
				restarted.now());
		restarted.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		restarted.answerPoll(List.of(new ActiveRun(RUN, 50)), List.of());
		restarted.advance(100);
		assertThat(restarted.messages).noneMatch(TakeOverAnswer.class::isInstance);
		restarted.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(restarted.messages).contains(new TakeOverAnswer(BATCH, 1, true));
	}

	// Guards against a run that the guard counted as ended and that the endpoint lists.
	@Example
	void grantsNoTakeOverWhileTheEndpointRunsATaskThatIsNotHeld() {
		this.harness.startRunning(OTHER_RUN);
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1), new ActiveRun(RUN, 1)), List.of());
		assertThat(takeOver(SECOND, 1)).isNull();
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 2)), List.of());
		assertThat(lastAnswer(SECOND, TakeOverAnswer.class)).isEqualTo(new TakeOverAnswer(BATCH, 1, true));
	}

	// Guards against two entries that both take a batch over.
	@Example
	void deniesAnEarlierTakeOverThatIsOvertakenBeforeItIsGranted() {
		this.harness.startRunning(RUN);
		takeOver(SECOND, 7);
		takeOver(THIRD, 7);
		assertThat(answers(TakeOverAnswer.class)).containsExactly(new TakeOverAnswer(BATCH, 7, false));
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(answers(TakeOverAnswer.class)).containsExactly(new TakeOverAnswer(BATCH, 7, false),
				new TakeOverAnswer(BATCH, 7, true));
	}

	// Guards against an earlier take-over that arrives late and ends the runs of the
	// later one.
	@Example
	void deniesATakeOverIfALaterOneIsInForce() {
		assertThat(takeOver(SECOND, 8)).isEqualTo(new TakeOverAnswer(BATCH, 8, true));
		startFromSecondEntry(RUN);
		assertThat(takeOver(FIRST, 8)).isEqualTo(new TakeOverAnswer(BATCH, 8, false));
		assertThat(takeOver(THIRD, 7)).isEqualTo(new TakeOverAnswer(BATCH, 7, false));
		assertThat(this.harness.stops).isEmpty();
		assertThat(takeOver(THIRD, 8)).isEqualTo(new TakeOverAnswer(BATCH, 7, false));
		assertThat(this.harness.stops).containsExactly(RUN);
	}

	// Guards against an entry that waits without end because an answer was lost, and
	// against a repeated message that stops its own runs.
	@Example
	void answersARepeatedTakeOverAgain() {
		takeOver(SECOND, 1);
		startFromSecondEntry(RUN);
		this.harness.messagesToSecondEntry.clear();
		assertThat(takeOver(SECOND, 1)).isEqualTo(new TakeOverAnswer(BATCH, 1, true));
		assertThat(this.harness.stops).isEmpty();
	}

	// Guards against an entry that has lost a batch by a take-over and claims it again.
	@Example
	void ranksATakeOverAboveClaims() {
		completeGuard();
		claim(FIRST);
		takeOver(SECOND, 1);
		assertThat(claim(FIRST)).isEqualTo(heldBy(SECOND, 0));
		assertThat(claim(THIRD, Optional.of(FIRST))).isEqualTo(heldBy(SECOND, 0));
	}

	// Guards against a take-over whose entry has given the batch up, and which arrives
	// again late.
	@Example
	void deniesATakeOverWhoseClaimWasReplaced() {
		completeGuard();
		takeOver(SECOND, 1);
		assertThat(claim(THIRD, Optional.of(SECOND))).isEqualTo(granted());
		assertThat(takeOver(SECOND, 1)).isEqualTo(new TakeOverAnswer(BATCH, 1, false));
		assertThat(claim(FIRST)).isEqualTo(heldBy(THIRD, 0));
	}

	// Guards against a guard that settles later and grants a batch that another entry has
	// claimed since.
	@Example
	void deniesAPendingTakeOverWhoseClaimIsReplaced() {
		LeaseManagerHarness restarted = new LeaseManagerHarness();
		restarted.connect(FIRST.entry());
		restarted.connect(SECOND.entry());
		restarted.leaseManager.onMessage(FIRST.entry(), FIRST.incarnation(), new TakeOverBatch(BATCH, 1, KEEP_MILLIS),
				restarted.now());
		restarted.leaseManager.onMessage(SECOND.entry(), SECOND.incarnation(),
				new ClaimBatch(BATCH, 1, KEEP_MILLIS, Optional.of(new BatchClaim(FIRST, 1))), restarted.now());
		restarted.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		restarted.answerPoll(List.of(), List.of());
		assertThat(restarted.messages).contains(new TakeOverAnswer(BATCH, 1, false))
			.doesNotContain(new TakeOverAnswer(BATCH, 1, true));
	}

	// Guards against an answer to the next incarnation of an entry, which has not taken
	// the batch over.
	@Example
	void dropsThePendingTakeOverOfALostEntry() {
		this.harness.startRunning(RUN);
		takeOver(SECOND, 1);
		this.harness.leaseManager.onEntryLost(SECOND.entry(), SECOND.incarnation(), this.harness.now());
		this.harness.connect(SECOND.entry());
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(lastAnswer(SECOND, TakeOverAnswer.class)).isNull();
		assertThat(takeOver(SECOND, 1)).isEqualTo(new TakeOverAnswer(BATCH, 1, true));
	}

	// Guards against a take-over whose claim is forgotten when it is granted.
	@Example
	void keepsATakeOverThatIsGrantedAfterItsTime() {
		completeGuard();
		// The order may be carried out late, so the run is held until a stop is answered.
		this.harness.requestStart(RUN);
		this.harness.answerStart(RUN, OrderResult.UNANSWERED);
		takeOver(SECOND, 1);
		this.harness.advance(KEEP_MILLIS + 1_000);
		assertThat(lastAnswer(SECOND, TakeOverAnswer.class)).isNull();
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(lastAnswer(SECOND, TakeOverAnswer.class)).isEqualTo(new TakeOverAnswer(BATCH, 1, true));
		this.harness.advance(KEEP_MILLIS - 10);
		assertThat(claim(FIRST).holder().map((holder) -> holder.claim().entry())).contains(SECOND);
	}

	// Guards against batches that nobody can take over because the endpoint of some guard
	// is down.
	@Example
	void grantsATakeOverAtAGuardWithoutAnEndpointWhenItHasRunForLongEnough() {
		LeaseManagerHarness restarted = new LeaseManagerHarness();
		restarted.connect(FIRST.entry());
		restarted.advance(10);
		restarted.leaseManager.onMessage(FIRST.entry(), FIRST.incarnation(), new TakeOverBatch(BATCH, 1, KEEP_MILLIS),
				restarted.now());
		restarted.advance(14_980);
		assertThat(restarted.messages).noneMatch(TakeOverAnswer.class::isInstance);
		restarted.advance(30);
		assertThat(restarted.messages).contains(new TakeOverAnswer(BATCH, 1, true));
	}

	// Guards against a take-over that can't be explained afterwards.
	@Example
	void reportsDeniedClaimsAndTakeOvers() {
		claim(FIRST);
		this.harness.startRunning(RUN);
		this.harness.advance(50);
		claim(SECOND);
		takeOver(SECOND, 4);
		takeOver(FIRST, 3);
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		assertThat(detail(NoticeKind.CLAIM_DENIED))
			.isEqualTo("of entry-2 incarnation 1, held by entry-1 incarnation 1 for 50 ms");
		assertThat(detail(NoticeKind.BATCH_TAKE_OVER_REQUESTED))
			.isEqualTo("number 4 of entry-2 incarnation 1, held by entry-1 incarnation 1 for 50 ms, 1 runs to stop");
		assertThat(detail(NoticeKind.BATCH_TAKE_OVER_DENIED))
			.isEqualTo("number 3 of entry-1 incarnation 1, held by entry-2 incarnation 1 for 0 ms");
		assertThat(detail(NoticeKind.BATCH_TAKE_OVER_GRANTED)).isEqualTo("number 4 of entry-2 incarnation 1");
		assertThat(detail(NoticeKind.STOP_REQUESTED)).contains("another entry has taken the batch over");
	}

	private String detail(NoticeKind kind) {
		assertThat(this.harness.notices(kind)).hasSize(1);
		return this.harness.notices(kind).get(0).detail();
	}

	private ClaimAnswer granted() {
		return new ClaimAnswer(BATCH, this.lastNumber, true, Optional.empty());
	}

	private ClaimAnswer heldBy(EntryIncarnation entry, long ageMillis) {
		return new ClaimAnswer(BATCH, this.lastNumber, true, Optional.of(new BatchHolder(claimOf(entry), ageMillis)));
	}

	private ClaimAnswer claim(EntryIncarnation entry) {
		return claim(entry, Optional.empty());
	}

	private ClaimAnswer claim(EntryIncarnation entry, Optional<EntryIncarnation> replaced) {
		return claim(entry, this.lastNumber + 1, replaced.map(this::claimOf));
	}

	private ClaimAnswer claim(EntryIncarnation entry, long number, Optional<BatchClaim> replaced) {
		this.lastNumber = number;
		send(entry, new ClaimBatch(BATCH, number, KEEP_MILLIS, replaced));
		ClaimAnswer answer = lastAnswer(entry, ClaimAnswer.class);
		if (answer.holder().isEmpty()) {
			this.grantedNumbers.put(entry, number);
		}
		return answer;
	}

	private BatchClaim claimOf(EntryIncarnation entry) {
		return new BatchClaim(entry, this.grantedNumbers.getOrDefault(entry, 0L));
	}

	private TakeOverAnswer takeOver(EntryIncarnation entry, long number) {
		this.grantedNumbers.put(entry, number);
		send(entry, new TakeOverBatch(BATCH, number, KEEP_MILLIS));
		return lastAnswer(entry, TakeOverAnswer.class);
	}

	private void send(EntryIncarnation entry, Message message) {
		this.harness.leaseManager.onEntryConnected(entry.entry(), entry.incarnation(), this.harness.now());
		this.harness.leaseManager.onMessage(entry.entry(), entry.incarnation(),
				new SessionPong(this.harness.now().nanos()), this.harness.now());
		this.harness.leaseManager.onMessage(entry.entry(), entry.incarnation(), message, this.harness.now());
	}

	private void startFromSecondEntry(RunId run) {
		this.secondOrder++;
		send(SECOND, new StartRun(run, "spec", LeaseManagerHarness.NEEDS, this.secondOrder));
	}

	// The age of the process counts from its first tick.
	private void completeGuard() {
		this.harness.advance(15_010);
		this.harness.answerPoll(List.of(), List.of());
	}

	private void runFor(long millis) {
		for (long elapsed = 0; elapsed < millis; elapsed += 100) {
			this.harness.advance(100);
			this.harness.answerPoll(this.harness.starts.stream()
				.map((run) -> new ActiveRun(run, (int) (this.harness.now().nanos() / 100_000_000 % 100)))
				.toList(), List.of());
		}
	}

	// The harness keeps the messages of the second and the third entry in one list.
	private <T> T lastAnswer(EntryIncarnation entry, Class<T> type) {
		List<Message> sent = entry.entry().equals(FIRST.entry()) ? this.harness.messages
				: this.harness.messagesToSecondEntry;
		return sent.stream().filter(type::isInstance).map(type::cast).reduce((first, second) -> second).orElse(null);
	}

	private <T> List<T> answers(Class<T> type) {
		return this.harness.messagesToSecondEntry.stream().filter(type::isInstance).map(type::cast).toList();
	}

}
