package io.coriandermux.wire;

import java.io.IOException;
import java.util.List;

import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.Fence;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;

/**
 * Numbers and field layouts of the messages about tasks and fences.
 */
final class TaskMessages {

	private static final int START = 10;

	private static final int ANSWER = 11;

	private static final int REFUSED = 12;

	private static final int CANCEL_TASK = 13;

	private static final int FENCE = 14;

	private static final int FENCE_ANSWER = 15;

	private static final int START_FIELDS = 12;

	private static final int ANSWER_FIELDS = 10;

	private static final int REFUSED_FIELDS = 6;

	private static final int CANCEL_FIELDS = 5;

	private static final int FENCE_ANSWER_FIELDS = 4;

	private static final int LEDGER_ENTRY_FIELDS = 10;

	static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(START, Start.class, START_FIELDS, TaskMessages::writeStart, TaskMessages::readStart),
			new MessageType<>(ANSWER, Answer.class, ANSWER_FIELDS, TaskMessages::writeAnswer, TaskMessages::readAnswer),
			new MessageType<>(REFUSED, Refused.class, REFUSED_FIELDS, TaskMessages::writeRefused,
					TaskMessages::readRefused),
			new MessageType<>(CANCEL_TASK, CancelTask.class, CANCEL_FIELDS, TaskMessages::writeCancel,
					(in) -> new CancelTask(readTask(in), in.enumConstant(ReplyCode.values()), in.flag())),
			new MessageType<>(FENCE, Fence.class, 1, (out, message) -> writeEpochs(out, message.epochs()),
					(in) -> new Fence(readEpochs(in))),
			new MessageType<>(FENCE_ANSWER, FenceAnswer.class, FENCE_ANSWER_FIELDS, TaskMessages::writeFenceAnswer,
					TaskMessages::readFenceAnswer));

	private TaskMessages() {
	}

	private static void writeTask(FieldWriter out, TaskKey task) throws IOException, CodecException {
		out.name(task.job().owner().value());
		out.name(task.job().job());
		out.number(task.index());
	}

	private static TaskKey readTask(FieldReader in) throws IOException, CodecException {
		OwnerId owner = new OwnerId(in.name());
		String job = in.name();
		int index = in.integer();
		if (index < 0 || index >= WireLimits.TASKS) {
			throw new CodecException("task index " + index + " is outside 0 to " + (WireLimits.TASKS - 1));
		}
		return new TaskKey(new JobKey(owner, job), index);
	}

	private static void writeStart(FieldWriter out, Start start) throws IOException, CodecException {
		writeTask(out, start.task());
		out.number(start.attempt().value());
		out.number(start.partition().number());
		out.number(start.epoch().value());
		out.number(start.guardClockEchoNanos());
		out.text(start.path(), WireLimits.PATH_BYTES);
		out.bytes(start.payload(), WireLimits.BODY_BYTES);
		out.number(start.timeLimitMillis());
		out.flag(start.shortWork());
		out.number(start.queued());
	}

	private static Start readStart(FieldReader in) throws IOException, CodecException {
		return new Start(readTask(in), new AttemptId(in.number()), new Partition(in.integer()), new Epoch(in.number()),
				in.number(), in.text(WireLimits.PATH_BYTES), in.bytes(WireLimits.BODY_BYTES), in.number(), in.flag(),
				in.count());
	}

	private static void writeAnswer(FieldWriter out, Answer answer) throws IOException, CodecException {
		writeTask(out, answer.task());
		out.number(answer.attempt().value());
		out.number(answer.state().ordinal());
		out.bytes(answer.body(), WireLimits.BODY_BYTES);
		out.flag(answer.bodyComplete());
		out.number(answer.runNanos());
		out.number(answer.freeSlots());
		out.flag(answer.creditReturned());
	}

	private static Answer readAnswer(FieldReader in) throws IOException, CodecException {
		return new Answer(readTask(in), new AttemptId(in.number()), in.enumConstant(LedgerState.values()),
				in.bytes(WireLimits.BODY_BYTES), in.flag(), in.number(), in.count(), in.flag());
	}

	private static void writeRefused(FieldWriter out, Refused refused) throws IOException, CodecException {
		writeTask(out, refused.task());
		out.number(refused.attempt().value());
		out.number(refused.reason().ordinal());
		out.number(refused.epoch().value());
	}

	private static void writeCancel(FieldWriter out, CancelTask cancel) throws IOException, CodecException {
		writeTask(out, cancel.task());
		out.number(cancel.cause().ordinal());
		out.flag(cancel.taskEnded());
	}

	private static Refused readRefused(FieldReader in) throws IOException, CodecException {
		return new Refused(readTask(in), new AttemptId(in.number()), in.enumConstant(StartRefusal.values()),
				new Epoch(in.number()));
	}

	private static void writeEpochs(FieldWriter out, List<PartitionEpoch> epochs) throws IOException, CodecException {
		out.list(epochs, Partition.COUNT, (element, value) -> {
			element.arrayHeader(2);
			element.number(value.partition().number());
			element.number(value.epoch().value());
		});
	}

	private static List<PartitionEpoch> readEpochs(FieldReader in) throws IOException, CodecException {
		return in.list(Partition.COUNT, (element) -> {
			element.arrayHeader(2, "a partition with its epoch");
			return new PartitionEpoch(new Partition(element.integer()), new Epoch(element.number()));
		});
	}

	private static void writeFenceAnswer(FieldWriter out, FenceAnswer answer) throws IOException, CodecException {
		writeEpochs(out, answer.epochs());
		out.list(answer.entries(), WireLimits.ELEMENTS, TaskMessages::writeLedgerEntry);
		out.flag(answer.last());
		out.number(answer.startedAtEpochMillis());
	}

	private static FenceAnswer readFenceAnswer(FieldReader in) throws IOException, CodecException {
		return new FenceAnswer(readEpochs(in), in.list(WireLimits.ELEMENTS, TaskMessages::readLedgerEntry), in.flag(),
				in.number());
	}

	private static void writeLedgerEntry(FieldWriter out, LedgerEntry entry) throws IOException, CodecException {
		out.arrayHeader(LEDGER_ENTRY_FIELDS);
		writeTask(out, entry.task());
		out.number(entry.partition().number());
		out.number(entry.attempt().value());
		out.number(entry.contentHash());
		out.number(entry.state().ordinal());
		out.bytes(entry.body(), WireLimits.BODY_BYTES);
		out.flag(entry.bodyComplete());
		out.number(entry.runNanos());
	}

	private static LedgerEntry readLedgerEntry(FieldReader in) throws IOException, CodecException {
		in.arrayHeader(LEDGER_ENTRY_FIELDS, "a ledger entry");
		return new LedgerEntry(readTask(in), new Partition(in.integer()), new AttemptId(in.number()), in.number(),
				in.enumConstant(LedgerState.values()), in.bytes(WireLimits.BODY_BYTES), in.flag(), in.number());
	}

}
