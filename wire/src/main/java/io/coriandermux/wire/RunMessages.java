package io.coriandermux.wire;

import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.HeldBatch;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.message.TablesOffer;
import io.coriandermux.core.message.TablesPull;
import io.coriandermux.core.message.TablesPush;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Numbers and field layouts of the messages about runs under leases.
 */
final class RunMessages {

	private static final int START_RUN = 40;

	private static final int STOP_RUN = 41;

	private static final int RUN_ENDED = 42;

	private static final int HELD_RUNS = 43;

	private static final int ENDPOINT_CHANGED = 44;

	private static final int SESSION_PING = 45;

	private static final int SESSION_PONG = 46;

	private static final int TABLES_PUSH = 47;

	private static final int TABLES_OFFER = 48;

	private static final int TABLES_PULL = 49;

	private static final int HELD_BATCHES = 50;

	private static final int RELEASE_BATCH = 51;

	private static final int CLAIM_BATCH = 52;

	private static final int CLAIM_ANSWER = 53;

	private static final int TAKE_OVER_BATCH = 54;

	private static final int TAKE_OVER_ANSWER = 55;

	private static final int RUN_FIELDS = 4;

	private static final int START_FIELDS = RUN_FIELDS + 5;

	private static final int ENDED_FIELDS = RUN_FIELDS + 2;

	private static final int CHANGED_FIELDS = 10;

	private static final int HELD_BATCHES_FIELDS = 3;

	private static final int CLAIM_FIELDS = 4;

	private static final int CLAIM_ANSWER_FIELDS = 4;

	private static final int REPLACED_FIELDS = 3;

	private static final int TAKE_OVER_FIELDS = 3;

	private static final int HOLDER_FIELDS = 4;

	static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(START_RUN, StartRun.class, START_FIELDS, RunMessages::writeStart, RunMessages::readStart),
			new MessageType<>(STOP_RUN, StopRun.class, RUN_FIELDS, (out, message) -> writeRun(out, message.run()),
					(in) -> new StopRun(readRun(in))),
			new MessageType<>(RUN_ENDED, RunEnded.class, ENDED_FIELDS, RunMessages::writeEnded, RunMessages::readEnded),
			new MessageType<>(HELD_RUNS, HeldRuns.class, 1,
					(out, message) -> out.list(message.runs(), WireLimits.ELEMENTS, (element, run) -> {
						element.arrayHeader(RUN_FIELDS);
						writeRun(element, run);
					}), (in) -> new HeldRuns(in.list(WireLimits.ELEMENTS, (element) -> {
						element.arrayHeader(RUN_FIELDS, "a run");
						return readRun(element);
					}))),
			new MessageType<>(ENDPOINT_CHANGED, EndpointChanged.class, CHANGED_FIELDS, RunMessages::writeChanged,
					RunMessages::readChanged),
			new MessageType<>(SESSION_PING, SessionPing.class, 1, (out, message) -> out.number(message.clockNanos()),
					(in) -> new SessionPing(in.number())),
			new MessageType<>(SESSION_PONG, SessionPong.class, 1, (out, message) -> out.number(message.clockNanos()),
					(in) -> new SessionPong(in.number())),
			new MessageType<>(TABLES_PUSH, TablesPush.class, 2, (out, message) -> {
				out.number(message.version());
				out.bytes(message.document(), WireLimits.DOCUMENT_BYTES);
			}, (in) -> new TablesPush(in.number(), in.bytes(WireLimits.DOCUMENT_BYTES))),
			new MessageType<>(TABLES_OFFER, TablesOffer.class, 1, (out, message) -> out.number(message.version()),
					(in) -> new TablesOffer(in.number())),
			new MessageType<>(TABLES_PULL, TablesPull.class, 1, (out, message) -> out.number(message.version()),
					(in) -> new TablesPull(in.number())),
			new MessageType<>(HELD_BATCHES, HeldBatches.class, HELD_BATCHES_FIELDS, (out, message) -> {
				out.flag(message.complete());
				writeBatches(out, message.ended());
				out.list(message.held(), WireLimits.ELEMENTS, (element, held) -> {
					element.arrayHeader(2);
					element.name(held.batch().value());
					element.number(held.ageMillis());
				});
			}, (in) -> new HeldBatches(in.flag(), readBatches(in), in.list(WireLimits.ELEMENTS, (element) -> {
				element.arrayHeader(2, "a held batch");
				return new HeldBatch(new BatchId(element.name()), element.number());
			}))),
			new MessageType<>(RELEASE_BATCH, ReleaseBatch.class, 1, (out, message) -> out.name(message.batch().value()),
					(in) -> new ReleaseBatch(new BatchId(in.name()))),
			new MessageType<>(CLAIM_BATCH, ClaimBatch.class, CLAIM_FIELDS, RunMessages::writeClaim,
					RunMessages::readClaim),
			new MessageType<>(CLAIM_ANSWER, ClaimAnswer.class, CLAIM_ANSWER_FIELDS, RunMessages::writeClaimAnswer,
					RunMessages::readClaimAnswer),
			new MessageType<>(TAKE_OVER_BATCH, TakeOverBatch.class, TAKE_OVER_FIELDS, (out, message) -> {
				out.name(message.batch().value());
				out.number(message.number());
				out.number(message.keepMillis());
			}, (in) -> new TakeOverBatch(new BatchId(in.name()), in.number(), in.number())),
			new MessageType<>(TAKE_OVER_ANSWER, TakeOverAnswer.class, TAKE_OVER_FIELDS, (out, message) -> {
				out.name(message.batch().value());
				out.number(message.number());
				out.flag(message.granted());
			}, (in) -> new TakeOverAnswer(new BatchId(in.name()), in.number(), in.flag())));

	private RunMessages() {
	}

	private static void writeRun(FieldWriter out, RunId run) throws IOException, CodecException {
		out.name(run.batch().value());
		out.number(run.phase());
		out.number(run.index());
		out.number(run.attempt());
	}

	private static RunId readRun(FieldReader in) throws IOException, CodecException {
		return new RunId(new BatchId(in.name()), in.count(), in.count(), in.count());
	}

	private static void writeBatches(FieldWriter out, List<BatchId> batches) throws IOException, CodecException {
		out.list(batches, WireLimits.ELEMENTS, (element, batch) -> element.name(batch.value()));
	}

	private static List<BatchId> readBatches(FieldReader in) throws IOException, CodecException {
		return in.list(WireLimits.ELEMENTS, (element) -> new BatchId(element.name()));
	}

	private static void writeClaim(FieldWriter out, ClaimBatch claim) throws IOException, CodecException {
		out.name(claim.batch().value());
		out.number(claim.number());
		out.number(claim.keepMillis());
		out.list(claim.replaced().stream().toList(), 1, (element, replaced) -> {
			element.arrayHeader(REPLACED_FIELDS);
			writeClaimOf(element, replaced);
		});
	}

	private static ClaimBatch readClaim(FieldReader in) throws IOException, CodecException {
		return new ClaimBatch(new BatchId(in.name()), in.number(), in.number(), in.list(1, (element) -> {
			element.arrayHeader(REPLACED_FIELDS, "a claim");
			return readClaimOf(element);
		}).stream().findFirst());
	}

	private static void writeClaimAnswer(FieldWriter out, ClaimAnswer answer) throws IOException, CodecException {
		out.name(answer.batch().value());
		out.number(answer.number());
		out.flag(answer.complete());
		out.list(answer.holder().stream().toList(), 1, (element, holder) -> {
			element.arrayHeader(HOLDER_FIELDS);
			writeClaimOf(element, holder.claim());
			element.number(holder.ageMillis());
		});
	}

	private static ClaimAnswer readClaimAnswer(FieldReader in) throws IOException, CodecException {
		return new ClaimAnswer(new BatchId(in.name()), in.number(), in.flag(), in.list(1, (element) -> {
			element.arrayHeader(HOLDER_FIELDS, "a holder");
			return new BatchHolder(readClaimOf(element), element.number());
		}).stream().findFirst());
	}

	private static void writeClaimOf(FieldWriter out, BatchClaim claim) throws IOException, CodecException {
		out.name(claim.entry().entry().value());
		out.number(claim.entry().incarnation().value());
		out.number(claim.number());
	}

	private static BatchClaim readClaimOf(FieldReader in) throws IOException, CodecException {
		EntryIncarnation entry = new EntryIncarnation(new EntryId(in.name()), new Incarnation(in.number()));
		return new BatchClaim(entry, in.number());
	}

	private static void writeAmounts(FieldWriter out, ResourceAmounts amounts) throws IOException, CodecException {
		out.amount(amounts.millicores());
		out.amount(amounts.memoryMb());
		out.amount(amounts.accelerators());
	}

	private static ResourceAmounts readAmounts(FieldReader in) throws IOException, CodecException {
		return new ResourceAmounts(in.amount(), in.amount(), in.amount());
	}

	private static void writeStart(FieldWriter out, StartRun start) throws IOException, CodecException {
		writeRun(out, start.run());
		out.text(start.spec(), WireLimits.BODY_BYTES);
		writeAmounts(out, start.needs());
		out.number(start.order());
	}

	private static StartRun readStart(FieldReader in) throws IOException, CodecException {
		return new StartRun(readRun(in), in.text(WireLimits.BODY_BYTES), readAmounts(in), in.number());
	}

	private static void writeEnded(FieldWriter out, RunEnded ended) throws IOException, CodecException {
		writeRun(out, ended.run());
		out.number(ended.outcome().ordinal());
		out.number(ended.runMillis());
	}

	private static RunEnded readEnded(FieldReader in) throws IOException, CodecException {
		return new RunEnded(readRun(in), in.enumConstant(RunOutcome.values()), in.number());
	}

	private static void writeChanged(FieldWriter out, EndpointChanged changed) throws IOException, CodecException {
		EndpointLoad load = changed.load();
		out.name(load.pool().value());
		out.list(List.copyOf(load.labels()), WireLimits.ELEMENTS, FieldWriter::name);
		writeAmounts(out, load.capacity());
		writeAmounts(out, load.free());
		out.flag(load.accepting());
		out.number(changed.order());
	}

	private static EndpointChanged readChanged(FieldReader in) throws IOException, CodecException {
		PoolName pool = new PoolName(in.name());
		Set<String> labels = new LinkedHashSet<>(in.list(WireLimits.ELEMENTS, FieldReader::name));
		return new EndpointChanged(new EndpointLoad(pool, labels, readAmounts(in), readAmounts(in), in.flag()),
				in.number());
	}

}
