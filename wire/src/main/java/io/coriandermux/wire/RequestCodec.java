package io.coriandermux.wire;

import java.io.IOException;

import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;

/**
 * Encodes and decodes a request of a caller inside a message, as an array of the type
 * number and the fields.
 */
final class RequestCodec {

	private static final int SUBMIT = 1;

	private static final int FETCH = 2;

	private static final int CANCEL = 3;

	private static final int RESERVE = 4;

	private static final int SUBMIT_FIELDS = 8;

	private static final int FETCH_FIELDS = 4;

	private static final int CANCEL_FIELDS = 3;

	private static final int RESERVE_FIELDS = 2;

	private static final int TASK_FIELDS = 6;

	private RequestCodec() {
	}

	static void write(FieldWriter out, CallerRequest request) throws IOException, CodecException {
		if (request instanceof SubmitJob submit) {
			writeSubmit(out, submit);
		}
		else if (request instanceof FetchJob fetch) {
			writeHeader(out, FETCH_FIELDS, FETCH, fetch.owner());
			out.name(fetch.job().text());
			out.number(fetch.waitMillis());
		}
		else if (request instanceof CancelJob cancel) {
			writeHeader(out, CANCEL_FIELDS, CANCEL, cancel.owner());
			out.name(cancel.job().text());
		}
		else {
			writeHeader(out, RESERVE_FIELDS, RESERVE, request.owner());
		}
	}

	static CallerRequest read(FieldReader in) throws IOException, CodecException {
		int count = in.arrayHeader(SUBMIT_FIELDS);
		int type = in.integer();
		if (type == SUBMIT && count == SUBMIT_FIELDS) {
			return new SubmitJob(new OwnerId(in.name()), new JobId(in.name()), in.number(), in.number(), in.flag(),
					in.list(WireLimits.TASKS, RequestCodec::readTask), in.number());
		}
		if (type == FETCH && count == FETCH_FIELDS) {
			return new FetchJob(new OwnerId(in.name()), new JobId(in.name()), in.number());
		}
		if (type == CANCEL && count == CANCEL_FIELDS) {
			return new CancelJob(new OwnerId(in.name()), new JobId(in.name()));
		}
		if (type == RESERVE && count == RESERVE_FIELDS) {
			return new ReserveJobId(new OwnerId(in.name()));
		}
		throw new CodecException("unknown request type " + type + " with " + count + " fields");
	}

	private static void writeHeader(FieldWriter out, int count, int type, OwnerId owner)
			throws IOException, CodecException {
		out.arrayHeader(count);
		out.number(type);
		out.name(owner.value());
	}

	private static void writeSubmit(FieldWriter out, SubmitJob submit) throws IOException, CodecException {
		writeHeader(out, SUBMIT_FIELDS, SUBMIT, submit.owner());
		out.name(submit.job().text());
		out.number(submit.createdAtMillis());
		out.number(submit.deadlineMillis());
		out.flag(submit.nonIdempotent());
		out.list(submit.tasks(), WireLimits.TASKS, RequestCodec::writeTask);
		out.number(submit.waitMillis());
	}

	private static void writeTask(FieldWriter out, TaskSpec task) throws IOException, CodecException {
		out.arrayHeader(TASK_FIELDS);
		out.text(task.path(), WireLimits.PATH_BYTES);
		out.bytes(task.payload(), WireLimits.BODY_BYTES);
		out.number(task.needs().cores());
		out.number(task.needs().memoryMb());
		out.number(task.needs().accelerators());
		out.number(task.declaredMillis());
	}

	private static TaskSpec readTask(FieldReader in) throws IOException, CodecException {
		in.arrayHeader(TASK_FIELDS, "a task");
		return new TaskSpec(in.text(WireLimits.PATH_BYTES), in.bytes(WireLimits.BODY_BYTES),
				new Resources(in.count(), in.count(), in.count()), in.number());
	}

}
