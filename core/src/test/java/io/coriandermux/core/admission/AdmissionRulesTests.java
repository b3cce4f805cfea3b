package io.coriandermux.core.admission;

import io.coriandermux.core.api.ReplyCode;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a burst of one owner that uses up the queue space reserved for others,
 * and against an unbounded queue.
 */
class AdmissionRulesTests {

	private final AdmissionRules rules = new AdmissionRules(100);

	private final WorkHistogram burstWork = new WorkHistogram();

	private final WorkHistogram poolWork = new WorkHistogram();

	AdmissionRulesTests() {
		for (int i = 0; i < 50; i++) {
			this.burstWork.add(1_000_000);
			this.poolWork.add(1_000_000);
		}
	}

	@Example
	void fullQueueRefusesTheBurstAndAdmitsTheReservedPartOfAnotherOwner() {
		QueueState bursting = new QueueState(this.burstWork, this.poolWork, 8, 0.5, 0.5, 100);
		QueueState other = new QueueState(new WorkHistogram(), this.poolWork, 8, 0.5, 0.5, 100);
		assertThat(this.rules.checkCount(bursting, 1)).map(Denial::code).contains(ReplyCode.OVERLOADED);
		assertThat(this.rules.checkCount(other, 25)).isEmpty();
		assertThat(this.rules.checkCount(other, 26)).isPresent();
	}

	@Example
	void ownerWithoutQuotaIsRefused() {
		QueueState state = new QueueState(new WorkHistogram(), new WorkHistogram(), 8, 0.5, 0.5, 0);
		assertThat(this.rules.checkCount(state, 1)).map(Denial::code).contains(ReplyCode.QUOTA);
	}

}
