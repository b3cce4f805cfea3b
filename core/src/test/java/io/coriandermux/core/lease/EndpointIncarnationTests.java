package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;

import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against runs that are reported as lost while they continue, so that their tasks
 * start elsewhere, because a heartbeat of another writer or of a former incarnation is
 * taken for one of a new incarnation of the endpoint.
 */
class EndpointIncarnationTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final EndpointIncarnation KNOWN = LeaseManagerHarness.ENDPOINT_INCARNATION;

	private static final EndpointIncarnation LATER = new EndpointIncarnation("i-1", 2000);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	@Example
	void ignoresAHeartbeatWithTheKnownStartAndAnotherId() {
		runListed();
		this.harness.sendHeartbeat(new EndpointIncarnation("i-2", KNOWN.startedAtMillis()), false);
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		assertThat(this.harness.leaseManager.status().endpoint()).isEqualTo(KNOWN.toString());
		this.harness.answerPoll(List.of(), List.of(new EndedRun(1, RUN, RunOutcome.DONE)));
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.DONE);
	}

	@Example
	void keepsItsRunsIfTheKnownIncarnationAnswersAfterAHeartbeatOfALaterStart() {
		for (String id : List.of("i-1", "i-2")) {
			RunId run = LeaseManagerHarness.run("of-" + id, 1);
			this.harness.startRunning(run);
			this.harness.answerPoll(List.of(new ActiveRun(run, 1)), List.of());
			this.harness.sendHeartbeat(new EndpointIncarnation(id, 2000), false);
			this.harness.advance(20);
			this.harness.answerPoll(List.of(new ActiveRun(run, 2)), List.of());
			assertThat(this.harness.outcomes(run)).isEmpty();
			assertThat(this.harness.leaseManager.status().endpoint()).isEqualTo(KNOWN.toString());
			assertThat(this.harness.leaseManager.status().accepting()).isTrue();
		}
	}

	@Example
	void reportsRunsAsLostOnceALaterIncarnationAnswers() {
		runListed();
		this.harness.sendHeartbeat(new EndpointIncarnation("i-2", 2000), false);
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.answerPoll(2000, List.of(), List.of());
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.ENDPOINT_LOST);
		this.harness.answerPoll(2000, List.of(), List.of());
		assertThat(this.harness.leaseManager.status().endpoint()).isEqualTo("i-2@2000");
		assertThat(this.harness.leaseManager.status().accepting()).isTrue();
	}

	// Guards against a lease that a poll grants to an incarnation whose clock is not
	// known, and against ends that it forgets before this guard has received them.
	@Example
	void grantsNothingAndAcknowledgesNothingInAPollForAnAnnouncedIncarnation() {
		runListed();
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)),
				List.of(new EndedRun(9, LeaseManagerHarness.run("other", 1), RunOutcome.DONE)));
		this.harness.leases.clear();
		this.harness.polls.clear();
		this.harness.sendHeartbeat(LATER, false);
		assertThat(this.harness.leases).hasSize(1)
			.allMatch((lease) -> lease.endpointId().isEmpty() && lease.expiresAtMillis().isEmpty());
		assertThat(this.harness.polls).extracting(Poll::highestReceivedEnd).containsExactly(0L);
		this.harness.advance(50);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 2)), List.of());
		assertThat(this.harness.leases).anyMatch((lease) -> lease.expiresAtMillis().isPresent());
	}

	@Example
	void repeatsAPollForAnAnnouncedIncarnationUntilOneIsAnswered() {
		runListed();
		this.harness.sendHeartbeat(LATER, false);
		this.harness.leaseManager.onPollAnswered(lastPoll(), OrderResult.UNANSWERED, Optional.empty(),
				this.harness.now());
		this.harness.leases.clear();
		this.harness.advance(100);
		assertThat(this.harness.leases).isNotEmpty().allMatch((lease) -> lease.endpointId().isEmpty());
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.answerPoll(2000, List.of(), List.of());
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.ENDPOINT_LOST);
	}

	// Guards against a flood of polls, and of raised tokens that make the endpoint refuse
	// orders of this guard, by a writer that repeats a heartbeat.
	@Example
	void pollsOnceForAHeartbeatThatIsRepeatedBeforeTheAnswer() {
		int polls = this.harness.polls.size();
		long token = this.harness.leaseManager.status().token();
		for (int i = 0; i < 5; i++) {
			this.harness.sendHeartbeat(new EndpointIncarnation("i-2", 2000 + i), false);
		}
		assertThat(this.harness.polls).hasSize(polls + 1);
		assertThat(this.harness.leaseManager.status().token()).isEqualTo(token + 1);
	}

	// Guards against a guard that addresses its orders to an id that does not exist and
	// ignores the endpoint, whose start is earlier, for good.
	@Example
	void discardsAFirstHeartbeatWhoseIdDoesNotAnswer() {
		LeaseManagerHarness guard = new LeaseManagerHarness();
		guard.connect(LeaseManagerHarness.ENTRY);
		guard.sendHeartbeat(new EndpointIncarnation("i-9", 9000), false);
		guard.leaseManager.onPollAnswered(guard.polls.get(0), OrderResult.OTHER_LIFE, Optional.empty(), guard.now());
		guard.sendHeartbeat(KNOWN, false);
		guard.answerPoll(List.of(), List.of());
		assertThat(guard.leaseManager.status().endpoint()).isEqualTo(KNOWN.toString());
		assertThat(guard.leaseManager.status().accepting()).isTrue();
	}

	@Example
	void replacesTheStartOfAFirstHeartbeatByTheOneThatTheEndpointAnswers() {
		LeaseManagerHarness guard = new LeaseManagerHarness();
		guard.connect(LeaseManagerHarness.ENTRY);
		guard.sendHeartbeat(new EndpointIncarnation("i-1", 9000), false);
		guard.answerPoll(List.of(), List.of());
		guard.answerPoll(List.of(), List.of());
		assertThat(guard.leaseManager.status().endpoint()).isEqualTo(KNOWN.toString());
		assertThat(guard.leaseManager.status().accepting()).isFalse();
		guard.sendHeartbeat(KNOWN, false);
		assertThat(guard.leaseManager.status().accepting()).isTrue();
	}

	// Guards against a next guard that restores a report of another writer.
	@Example
	void offersAReportOnlyOnceItsIncarnationHasAnswered() {
		LeaseManagerHarness guard = new LeaseManagerHarness();
		guard.sendHeartbeat(KNOWN, false);
		assertThat(guard.leaseManager.confirmedReport()).isEmpty();
		guard.answerPoll(List.of(), List.of());
		assertThat(guard.leaseManager.confirmedReport()).map(EndpointReport::incarnation).contains(KNOWN);
		guard.sendHeartbeat(LATER, false);
		assertThat(guard.leaseManager.confirmedReport()).map(EndpointReport::incarnation).contains(KNOWN);
	}

	// A deregistration names an id, which a newer incarnation may have as well.
	@Example
	void acceptsRunsAgainIfAnIncarnationThatDoesNotDrainAnswersAfterADeregistration() {
		this.harness.leaseManager.onEndpointDeregistered("i-1", this.harness.now());
		assertThat(this.harness.leaseManager.status().accepting()).isFalse();
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.leaseManager.status().accepting()).isTrue();
	}

	@Example
	void acceptsNoRunsAfterTheDeregistrationOfADrainingEndpoint() {
		this.harness.sendHeartbeat(KNOWN, true);
		this.harness.leaseManager.onEndpointDeregistered("i-1", this.harness.now());
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.leaseManager.status().accepting()).isFalse();
	}

	// Guards against a deregistered endpoint whose next incarnation would receive no
	// runs.
	@Example
	void acceptsRunsAtAnIncarnationThatFollowsADeregisteredOne() {
		this.harness.sendHeartbeat(KNOWN, true);
		this.harness.leaseManager.onEndpointDeregistered("i-1", this.harness.now());
		this.harness.sendHeartbeat(LATER, false);
		this.harness.answerPoll(2000, List.of(), List.of());
		this.harness.answerPoll(2000, List.of(), List.of());
		assertThat(this.harness.leaseManager.status().accepting()).isTrue();
	}

	// Guards against runs that are reported as lost, and orders that are addressed to the
	// announced incarnation, because the endpoint leaves the polls unanswered that would
	// show that the known one is still there.
	@Example
	void reportsRunsAsLapsedOnlyOnceTheirLeaseHasExpiredIfNoPollForAnAnnouncedIncarnationIsAnswered() {
		runListed();
		this.harness.leases.clear();
		this.harness.sendHeartbeat(new EndpointIncarnation("i-2", 2000), false);
		leavePollsUnanswered(600);
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		leavePollsUnanswered(1400);
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.LAPSED);
		assertThat(this.harness.leases).noneMatch((lease) -> lease.endpointId().equals("i-2"));
		assertThat(this.harness.leases).allMatch((lease) -> lease.expiresAtMillis().isEmpty());
		assertThat(this.harness.leaseManager.status().endpoint()).isEqualTo(KNOWN.toString());
	}

	// Guards against a guard that counts as settled, and reports runs of its predecessor
	// as ended, because of an answer to a poll that named no incarnation.
	@Example
	void drawsNoConclusionFromTheAnswerToAPollThatWasSentBeforeTheFirstHeartbeat() {
		LeaseManagerHarness guard = new LeaseManagerHarness();
		guard.connect(LeaseManagerHarness.ENTRY);
		guard.advance(300);
		Poll earlier = guard.polls.get(0);
		guard.sendHeartbeat(new EndpointIncarnation("i-2", KNOWN.startedAtMillis()), false);
		guard.answerPoll(earlier, List.of(), List.of());
		assertThat(guard.leaseManager.confirmedReport()).isEmpty();
		assertThat(guard.leaseManager.status().settled()).isFalse();
		Poll addressed = guard.polls.get(guard.polls.size() - 1);
		guard.leaseManager.onPollAnswered(addressed, OrderResult.OTHER_LIFE, Optional.empty(), guard.now());
		guard.sendHeartbeat(KNOWN, false);
		guard.answerPoll(List.of(), List.of());
		assertThat(guard.leaseManager.confirmedReport()).map(EndpointReport::incarnation).contains(KNOWN);
		assertThat(guard.leaseManager.status().accepting()).isTrue();
	}

	private void leavePollsUnanswered(long millis) {
		for (long elapsed = 0; elapsed < millis; elapsed += 50) {
			this.harness.leaseManager.onPollAnswered(lastPoll(), OrderResult.UNANSWERED, Optional.empty(),
					this.harness.now());
			this.harness.advance(50);
		}
	}

	private void runListed() {
		this.harness.startRunning(RUN);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
	}

	private Poll lastPoll() {
		return this.harness.polls.get(this.harness.polls.size() - 1);
	}

}
