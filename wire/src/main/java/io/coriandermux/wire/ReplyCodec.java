package io.coriandermux.wire;

import java.io.IOException;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.core.id.JobId;

/**
 * Encodes and decodes a reply to a caller inside a message, as an array of the type
 * number and the fields.
 */
final class ReplyCodec {

	private static final int OUTCOME = 1;

	private static final int RUNNING = 2;

	private static final int RESERVED = 3;

	private static final int REFUSAL = 4;

	private static final int OUTCOME_FIELDS = 6;

	private static final int RUNNING_FIELDS = 5;

	private static final int RESERVED_FIELDS = 2;

	private static final int REFUSAL_FIELDS = 5;

	private static final int TASK_FIELDS = 3;

	private ReplyCodec() {
	}

	static void write(FieldWriter out, CallerReply reply) throws IOException, CodecException {
		if (reply instanceof JobOutcome outcome) {
			writeOutcome(out, outcome);
		}
		else if (reply instanceof JobRunning running) {
			out.arrayHeader(RUNNING_FIELDS);
			out.number(RUNNING);
			out.name(running.job());
			out.number(running.queued());
			out.number(running.running());
			out.number(running.finished());
		}
		else if (reply instanceof JobIdReserved reserved) {
			out.arrayHeader(RESERVED_FIELDS);
			out.number(RESERVED);
			out.name(reserved.job().text());
		}
		else if (reply instanceof Refusal refusal) {
			out.arrayHeader(REFUSAL_FIELDS);
			out.number(REFUSAL);
			out.number(refusal.outcome().ordinal());
			out.number(refusal.code().ordinal());
			out.text(refusal.reason(), WireLimits.REASON_BYTES);
			out.number(refusal.retryAfterMillis());
		}
	}

	static CallerReply read(FieldReader in) throws IOException, CodecException {
		int count = in.arrayHeader(OUTCOME_FIELDS);
		int type = in.integer();
		if (type == OUTCOME && count == OUTCOME_FIELDS) {
			return new JobOutcome(in.name(), in.enumConstant(Outcome.values()), in.enumConstant(ReplyCode.values()),
					in.text(WireLimits.REASON_BYTES), in.list(WireLimits.TASKS, ReplyCodec::readTask));
		}
		if (type == RUNNING && count == RUNNING_FIELDS) {
			return new JobRunning(in.name(), in.count(), in.count(), in.count());
		}
		if (type == RESERVED && count == RESERVED_FIELDS) {
			return new JobIdReserved(new JobId(in.name()));
		}
		if (type == REFUSAL && count == REFUSAL_FIELDS) {
			return new Refusal(in.enumConstant(Outcome.values()), in.enumConstant(ReplyCode.values()),
					in.text(WireLimits.REASON_BYTES), in.number());
		}
		throw new CodecException("unknown reply type " + type + " with " + count + " fields");
	}

	private static void writeOutcome(FieldWriter out, JobOutcome outcome) throws IOException, CodecException {
		out.arrayHeader(OUTCOME_FIELDS);
		out.number(OUTCOME);
		out.name(outcome.job());
		out.number(outcome.outcome().ordinal());
		out.number(outcome.code().ordinal());
		out.text(outcome.reason(), WireLimits.REASON_BYTES);
		out.list(outcome.tasks(), WireLimits.TASKS, (element, task) -> {
			element.arrayHeader(TASK_FIELDS);
			element.number(task.outcome().ordinal());
			element.text(task.reason(), WireLimits.REASON_BYTES);
			element.bytes(task.body(), WireLimits.BODY_BYTES);
		});
	}

	private static TaskResult readTask(FieldReader in) throws IOException, CodecException {
		in.arrayHeader(TASK_FIELDS, "a task result");
		return new TaskResult(in.enumConstant(Outcome.values()), in.text(WireLimits.REASON_BYTES),
				in.bytes(WireLimits.BODY_BYTES));
	}

}
