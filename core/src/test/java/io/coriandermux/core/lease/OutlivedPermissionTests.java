package io.coriandermux.core.lease;

import java.util.List;
import java.util.OptionalLong;

import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two concurrent runs of a task because a session, a lease or the proof of
 * an end lasts longer than whoever granted it assumes.
 */
class OutlivedPermissionTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	/** An endpoint's clock may run 2% slow. */
	private static final double SLOWEST_RATE = 0.98;

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	// Guards against a guard that stood still, notices a connection of the entry late and
	// starts a run that the entry has meanwhile placed elsewhere.
	@Example
	void startsNothingInANewSessionThatTheEntryHasNotConfirmed() {
		this.harness.entryConfirmsPings = false;
		this.harness.leaseManager.onEntryLost(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				this.harness.now());
		this.harness.leaseManager.onEntryConnected(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				this.harness.now());
		this.harness.requestStart(RUN);
		assertThat(this.harness.starts).isEmpty();
	}

	// Guards against a start request that waited in the socket while the VM was
	// suspended.
	@Example
	void startsNothingRightAfterASuspension() {
		this.harness.entryConfirmsPings = false;
		this.harness.advance(10);
		this.harness.suspend(5000);
		this.harness.requestStart(RUN);
		assertThat(this.harness.starts).isEmpty();
	}

	// Guards against a session that is prolonged after a suspension by an answer that the
	// entry gave before it.
	@Example
	void aPingSentBeforeASuspensionConfirmsNothingAfterIt() {
		this.harness.startRunning(RUN);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		this.harness.entryConfirmsPings = false;
		long pingNanos = this.harness.now().nanos();
		this.harness.suspend(5000);
		this.harness.leaseManager.tick(this.harness.now());
		this.harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new SessionPong(pingNanos), this.harness.now());
		this.harness.advance(300);
		assertThat(this.harness.stops).contains(RUN);
	}

	// Guards against an end that is reported while the endpoint's lease is still valid: a
	// reading of its clock is a minute old when the start order grants the lease.
	@Example
	void reportsNoRunAsLapsedWhileASlowClockStillGrantsTheLease() {
		long readingMillis = this.harness.endpointClockMillis();
		this.harness.advance(60_000);
		this.harness.requestStart(RUN);
		this.harness.leaseManager.onStartAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.empty(), this.harness.now());
		long elapsedMillis = 60_000;
		while (this.harness.outcomes(RUN).isEmpty()) {
			this.harness.advance(10);
			elapsedMillis += 10;
		}
		long slowClockMillis = readingMillis + (long) (elapsedMillis * SLOWEST_RATE);
		assertThat(this.harness.leases).noneMatch((lease) -> lease.expiresAtMillis().orElse(0) > slowClockMillis);
	}

	// Guards against a start order that reaches the new incarnation of an endpoint after
	// the end of its run was reported.
	@Example
	void keepsAStoppingRunWhoseStartWasNotAnsweredWhenTheEndpointRestarts() {
		this.harness.requestStart(RUN);
		this.harness.requestStop(RUN);
		this.harness.sendHeartbeat(new EndpointIncarnation("i-1", 2000), false);
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.answerPoll(2000, List.of(), List.of());
		this.harness.answerPoll(2000, List.of(), List.of());
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(0), this.harness.now());
		this.harness.answerPoll(2000, List.of(), List.of());
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.STOPPED);
	}

	// Guards against a start order whose answer is still awaited and that reaches the new
	// incarnation after the end of its run was reported.
	@Example
	void aNewIncarnationOfTheEndpointRefusesTheOrdersThatWereSentToThePreviousOne() {
		this.harness.requestStart(RUN);
		long startToken = this.harness.leaseManager.status().token();
		this.harness.sendHeartbeat(new EndpointIncarnation("i-1", 2000), false);
		assertThat(this.harness.leases.get(this.harness.leases.size() - 1).token()).isGreaterThan(startToken);
	}

	// Guards against a lease of an hour: the clock of the previous incarnation is ahead
	// of that of the new one by the time that it ran.
	@Example
	void aLateAnswerOfThePreviousIncarnationDoesNotSetTheClockOfTheNewOne() {
		this.harness.requestStart(RUN);
		this.harness.sendHeartbeat(new EndpointIncarnation("i-1", 2000), false);
		this.harness.answerPoll(2000, List.of(), List.of());
		this.harness.answerPoll(2000, List.of(), List.of());
		this.harness.leaseManager.onStartAnswered(RUN, OrderResult.ACCEPTED, OptionalLong.of(3_600_000),
				this.harness.now());
		this.harness.requestStart(OTHER_RUN);
		assertThat(this.harness.leases).noneMatch((lease) -> lease.expiresAtMillis().orElse(0) > 2000);
	}

}
