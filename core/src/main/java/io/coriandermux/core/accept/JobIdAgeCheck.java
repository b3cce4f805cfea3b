package io.coriandermux.core.accept;

import java.util.Optional;

import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.Moment;

/**
 * Checks the age of a job id that has no record.
 */
public final class JobIdAgeCheck {

	private final long retentionMillis;

	/**
	 * Creates the check.
	 * @param retentionMillis retention of job ids in milliseconds
	 */
	public JobIdAgeCheck(long retentionMillis) {
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Returns when the id of a job was created: the time in the id if it contains one,
	 * otherwise the time in the submission.
	 * @param submit the submission
	 * @return wall clock in milliseconds
	 */
	public static long createdAtMillis(SubmitJob submit) {
		return submit.job().createdAtMillis().orElse(submit.createdAtMillis());
	}

	/**
	 * Checks the age of the id of a submission.
	 * @param submit the submission
	 * @param now the current time
	 * @return the refusal, or empty if the id is neither expired nor ahead of the clock
	 * by more than the maximum clock skew
	 */
	public Optional<Refusal> check(SubmitJob submit, Moment now) {
		long age = now.epochMillis() - createdAtMillis(submit);
		if (age > this.retentionMillis) {
			return Optional.of(new Refusal(Outcome.OUTCOME_UNKNOWN, ReplyCode.ID_EXPIRED, "the id was created " + age
					+ " ms ago; records of jobs are kept for " + this.retentionMillis + " ms", 0));
		}
		if (age < -TimingLimits.MAX_SKEW_MILLIS) {
			return Optional.of(new Refusal(Outcome.NOT_RUN, ReplyCode.CLOCK_SKEW,
					"the id was created " + -age + " ms in the future", -age));
		}
		return Optional.empty();
	}

}
