package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Pattern: answers take long, and the token that rises for unanswered orders makes the
 * endpoint refuse stop orders of the same guard that are still on their way. Guards
 * against a run that continues for seconds although the guard stops it.
 */
class RefusedStopTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private static final RunId OTHER_RUN = LeaseManagerHarness.run("b2", 1);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	@Example
	void repeatsAStopThatARaisedTokenHasShutOutAtOnce() {
		this.harness.startRunning(RUN);
		this.harness.requestStart(OTHER_RUN);
		this.harness.requestStop(RUN);
		this.harness.answerStart(OTHER_RUN, OrderResult.UNANSWERED);
		this.harness.advance(20);
		assertThat(this.harness.stopTokens).containsExactly(7L);
		answerStop(OrderResult.FENCED);
		assertThat(this.harness.stopTokens).containsExactly(7L, 8L);
		answerStop(OrderResult.ACCEPTED);
		this.harness.answerPoll(List.of(new ActiveRun(OTHER_RUN, 1)), List.of());
		assertThat(this.harness.outcomes(RUN)).containsExactly(RunOutcome.STOPPED);
	}

	@Example
	void repeatsARefusedStopAtMostOnceInTwentyMilliseconds() {
		this.harness.startRunning(RUN);
		this.harness.requestStop(RUN);
		for (int elapsed = 0; elapsed < 1_000; elapsed += 10) {
			answerStop(OrderResult.FENCED);
			this.harness.advance(10);
		}
		assertThat(this.harness.stops).hasSizeBetween(40, 51);
	}

	// An endpoint that carries such an order out late starts and prolongs nothing.
	@Example
	void doesNotRaiseTheTokenForAnUnansweredStop() {
		this.harness.startRunning(RUN);
		this.harness.requestStop(RUN);
		for (int order = 1; order <= 3; order++) {
			answerStop(OrderResult.UNANSWERED);
			this.harness.advance(150);
		}
		assertThat(this.harness.stopTokens).hasSizeGreaterThan(2).containsOnly(7L);
	}

	@Example
	void doesNotRaiseTheTokenForAnUnansweredPollThatGrantsNothing() {
		this.harness.startRunning(RUN);
		this.harness.requestStop(RUN);
		this.harness.leases.clear();
		for (int poll = 1; poll <= 5; poll++) {
			this.harness.advance(150);
			failLastPoll();
		}
		assertThat(this.harness.leases).hasSizeGreaterThan(2)
			.allMatch((lease) -> lease.token() == 7 && lease.expiresAtMillis().isEmpty());
	}

	@Example
	void raisesTheTokenForAnUnansweredPollThatGrantsALease() {
		this.harness.startRunning(RUN);
		this.harness.advance(50);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		assertThat(this.harness.leases.get(this.harness.leases.size() - 1).expiresAtMillis()).isPresent();
		failLastPoll();
		assertThat(this.harness.leaseManager.status().token()).isEqualTo(8);
	}

	private void answerStop(OrderResult result) {
		this.harness.leaseManager.onStopAnswered(RUN, result, OptionalLong.empty(), this.harness.now());
	}

	private void failLastPoll() {
		this.harness.leaseManager.onPollAnswered(this.harness.polls.get(this.harness.polls.size() - 1),
				OrderResult.UNANSWERED, Optional.empty(), this.harness.now());
	}

}
