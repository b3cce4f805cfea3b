package io.coriandermux.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Result of a job as its caller received it.
 *
 * @param job the job
 * @param id the id of the job
 * @param outcome the outcome in lower case, {@code none} if the job has no outcome
 * @param code the code of the reason
 * @param reason the text of the reason
 * @param reply the whole reply, {@code null} if no reply was final
 * @param submissions the number of submissions that the caller sent
 */
record JobResult(DemoJob job, String id, String outcome, String code, String reason, JsonNode reply, int submissions) {

	static final String NONE = "none";

	static final String COMPLETE = "complete";

	static final String FAILED = "failed";

	static final String NOT_RUN = "not_run";

	static final String UNKNOWN = "outcome_unknown";

	static JobResult ofReply(DemoJob job, String id, JsonNode reply, int submissions) {
		return new JobResult(job, id, reply.path("outcome").asText(NONE), reply.path("code").asText(),
				reply.path("reason").asText(), reply, submissions);
	}

	static JobResult withoutOutcome(DemoJob job, String id, String reason, int submissions) {
		return new JobResult(job, id, NONE, "", reason, null, submissions);
	}

	boolean isFinal() {
		return this.outcome.equals(COMPLETE) || this.outcome.equals(FAILED) || this.outcome.equals(NOT_RUN)
				|| this.outcome.equals(UNKNOWN);
	}

	@Override
	public String toString() {
		return this.job + " " + this.outcome + " " + this.code + ", " + this.job.tasks() + " tasks, " + this.submissions
				+ " submissions" + (this.reason.isEmpty() ? "" : ": " + this.reason);
	}

}
