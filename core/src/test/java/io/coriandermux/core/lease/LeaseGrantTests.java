package io.coriandermux.core.lease;

import java.util.List;
import java.util.OptionalLong;

import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a lease that lasts longer than the permission of a run that it covers,
 * and against a run that is reported as ended although it may still start.
 */
class LeaseGrantTests {

	/** A caller resubmits a batch 1.3 s after its connection was lost. */
	private static final long RESUBMIT_MILLIS = 1_300;

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	// Guards against a run that outlives its entry because stop orders are not answered
	// and
	// polls renew the lease.
	@Example
	void grantsNoLeaseThatOutlastsTheSessionOfAnEntryWithRuns() {
		this.harness.startRunning(RUN);
		this.harness.leaseManager.onMessage(LeaseManagerHarness.ENTRY, LeaseManagerHarness.ENTRY_INCARNATION,
				new SessionPong(this.harness.now().nanos()), this.harness.now());
		long confirmedMillis = this.harness.endpointClockMillis();
		this.harness.entryConfirmsPings = false;
		answerPolls(20, RUN);
		assertThat(this.harness.stops).contains(RUN);
		assertThat(grantedUntil()).allMatch((until) -> until < confirmedMillis + RESUBMIT_MILLIS);
	}

	// Guards against a run that goes on while each poll is answered and no stop order is.
	@Example
	void grantsNoLeaseUntilARequestedStopHasTakenEffect() {
		this.harness.startRunning(RUN);
		this.harness.startRunning(OTHER_RUN);
		this.harness.requestStop(RUN);
		this.harness.leases.clear();
		answerPolls(5, RUN);
		assertThat(this.harness.leases).isNotEmpty();
		assertThat(grantedUntil()).isEmpty();
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED,
				OptionalLong.of(this.harness.endpointClockMillis()), this.harness.now());
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 50)),
				List.of(new EndedRun(1, RUN, RunOutcome.STOPPED)));
		this.harness.advance(500);
		assertThat(grantedUntil()).isNotEmpty();
	}

	// Guards against a new guard that prolongs the runs of its predecessor while it stops
	// them.
	@Example
	void grantsNoLeaseWhileRunsOfAPreviousGuardAreActive() {
		LeaseManagerHarness successor = new LeaseManagerHarness();
		successor.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		for (int count = 0; count < 10; count++) {
			successor.answerPoll(List.of(new ActiveRun(OTHER_RUN, count)), List.of());
			successor.advance(100);
		}
		assertThat(successor.leases).hasSizeGreaterThan(2).allMatch((lease) -> lease.expiresAtMillis().isEmpty());
	}

	// Guards against a task that starts elsewhere although its first start order, never
	// answered, can still be carried out.
	@Example
	void reportsNoEndOfAnUnansweredStartWhenTheLeaseExpires() {
		this.harness.startRunning(OTHER_RUN);
		this.harness.requestStart(RUN);
		this.harness.advance(2_000);
		assertThat(this.harness.outcomes(OTHER_RUN)).containsExactly(RunOutcome.LAPSED);
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.ACCEPTED,
				OptionalLong.of(this.harness.endpointClockMillis()), this.harness.now());
		this.harness.answerPoll(List.of(), List.of());
		assertThat(this.harness.outcomes(RUN)).hasSize(1);
	}

	// Guards against a task that is never started again because its endpoint has ended
	// before it answered the start order.
	@Example
	void endsAnUnansweredStartWhenTheEndpointRefusesConnectionsAfterItsLease() {
		this.harness.requestStart(RUN);
		this.harness.advance(500);
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.NOT_SENT, OptionalLong.empty(), this.harness.now());
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.advance(500);
		assertThat(this.harness.stops).contains(RUN);
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.NOT_SENT, OptionalLong.empty(), this.harness.now());
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		// The next incarnation may carry the order out for 12 s.
		this.harness.advance(11_000);
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.NOT_SENT, OptionalLong.empty(), this.harness.now());
		assertThat(this.harness.outcomes(RUN)).isEmpty();
		this.harness.advance(500);
		this.harness.leaseManager.onStopAnswered(RUN, OrderResult.NOT_SENT, OptionalLong.empty(), this.harness.now());
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.NOT_STARTED);
	}

	// Guards against a stop order that is not answered for the length of a lease: the
	// run,
	// and the others that the lease covers, must then end with it.
	@Example
	void letsTheLeaseExpireWhileARequestedStopIsNotConfirmed() {
		this.harness.startRunning(RUN);
		this.harness.startRunning(OTHER_RUN);
		this.harness.requestStop(RUN);
		this.harness.leases.clear();
		answerPolls(10, RUN);
		assertThat(grantedUntil()).isEmpty();
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.LAPSED);
		assertThat(this.harness.outcomes(OTHER_RUN)).containsExactly(RunOutcome.LAPSED);
	}

	private void answerPolls(int count, RunId active) {
		for (int percent = 1; percent <= count; percent++) {
			this.harness.advance(100);
			this.harness.answerPoll(List.of(new ActiveRun(active, percent), new ActiveRun(OTHER_RUN, percent)),
					List.of());
		}
	}

	private List<Long> grantedUntil() {
		return this.harness.leases.stream()
			.filter((lease) -> lease.expiresAtMillis().isPresent())
			.map((lease) -> lease.expiresAtMillis().getAsLong())
			.toList();
	}

}
