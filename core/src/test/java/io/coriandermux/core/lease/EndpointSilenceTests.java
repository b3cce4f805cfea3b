package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;

import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.RunId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a record that does not show from when to when a guard had no answer of
 * its endpoint, and against a log that grows with each call that is not answered.
 */
class EndpointSilenceTests {

	private static final RunId RUN = LeaseManagerHarness.run("b1", 1);

	private final LeaseManagerHarness harness = LeaseManagerHarness.settled();

	@Example
	void reportsASilenceOnceWithItsRunsAndItsLease() {
		this.harness.startRunning(RUN);
		this.harness.advance(490);
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_SILENT)).isEmpty();
		this.harness.advance(1_000);
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_SILENT)).hasSize(1);
		Notice notice = this.harness.notices(NoticeKind.ENDPOINT_SILENT).get(0);
		assertThat(notice.subject()).isEqualTo(LeaseManagerHarness.ENDPOINT_INCARNATION.toString());
		assertThat(notice.detail())
			.startsWith("no answer for 500 ms, no call has ended, 1 runs held, lease expires in ")
			.contains(" ms, last poll ");
	}

	@Example
	void reportsASilenceBeforeTheFirstLease() {
		LeaseManagerHarness started = new LeaseManagerHarness();
		started.sendHeartbeat(LeaseManagerHarness.ENDPOINT_INCARNATION, false);
		started.advance(600);
		assertThat(started.notices(NoticeKind.ENDPOINT_SILENT)).extracting(Notice::detail)
			.singleElement()
			.asString()
			.contains("0 runs held, no lease granted, last poll ");
	}

	@Example
	void namesTheResultOfTheLastCall() {
		this.harness.startRunning(RUN);
		this.harness.advance(300);
		failPoll(OrderResult.NOT_SENT);
		this.harness.advance(300);
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_SILENT)).extracting(Notice::detail)
			.first()
			.asString()
			.contains("last call NOT_SENT");
	}

	@Example
	void reportsTheLengthOfASilenceWhenTheEndpointAnswersAgain() {
		this.harness.startRunning(RUN);
		// The guard notices with its next tick, 10 ms later, that it needs answers.
		this.harness.advance(1_110);
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 1)), List.of());
		this.harness.answerPoll(List.of(new ActiveRun(RUN, 2)), List.of());
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_ANSWERS)).extracting(Notice::detail)
			.containsExactly("after 1100 ms");
		this.harness.advance(600);
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_SILENT)).hasSize(2);
	}

	@Example
	void reportsNothingAboutAnIdleEndpointThatIsPolledRarely() {
		this.harness.advance(5_000);
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_SILENT)).isEmpty();
	}

	@Example
	void countsASilenceFromTheFirstCallAfterAnIdleTime() {
		this.harness.advance(1_900);
		this.harness.startRunning(RUN);
		this.harness.advance(400);
		assertThat(this.harness.notices(NoticeKind.ENDPOINT_SILENT)).isEmpty();
	}

	private void failPoll(OrderResult result) {
		this.harness.leaseManager.onPollAnswered(this.harness.polls.get(this.harness.polls.size() - 1), result,
				Optional.empty(), this.harness.now());
	}

}
