package io.coriandermux.bench.capacity;

import java.util.List;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;
import io.coriandermux.wire.CodecException;
import io.coriandermux.wire.MessageCodec;

/**
 * Probes of the encoding of messages between processes.
 */
final class WireProbes {

	private static final List<Integer> TASK_COUNTS = List.of(50_000, 100_000, 200_000);

	private static final List<Integer> BODY_SIZES = List.of(64, 1_024, 16_384);

	private static final List<Integer> HEARTBEAT_COUNTS = List.of(1_000, 2_000, 4_000);

	private static final int TYPICAL_BODY_BYTES = 256;

	private static final int FRAME_HEADER_BYTES = 4;

	private static final long CLOCK_NANOS = 86_400_000_000_000L;

	private static final long TIME_LIMIT_MILLIS = 10_000;

	private static final long RUN_NANOS = 100_000_000L;

	private static final long REVISION = 50_000;

	private final MessageCodec codec = new MessageCodec();

	private WireProbes() {
	}

	static List<CapacityProbe> all() {
		WireProbes probes = new WireProbes();
		return List.of(
				new CapacityProbe("codec processor time, Start and Answer", "task", "ns", TASK_COUNTS,
						probes::codecNanos),
				new CapacityProbe("frames of a task, Start and Answer", "body byte", "bytes", BODY_SIZES,
						probes::taskFrameBytes),
				new CapacityProbe("heartbeat frames", "heartbeat", "bytes", HEARTBEAT_COUNTS,
						probes::heartbeatFrameBytes));
	}

	private double codecNanos(int size) {
		byte[] body = new byte[TYPICAL_BODY_BYTES];
		return CostMeter.processorNanos(() -> {
			for (int number = 0; number < size; number++) {
				decode(encode(start(number, body)));
				decode(encode(answer(number, body)));
			}
		});
	}

	private double taskFrameBytes(int size) {
		byte[] body = new byte[size];
		return encode(start(0, body)).length + encode(answer(0, body)).length + 2 * FRAME_HEADER_BYTES;
	}

	private double heartbeatFrameBytes(int size) {
		double total = 0;
		for (int number = 0; number < size; number++) {
			long clock = CLOCK_NANOS + number;
			Message heartbeat = new Heartbeat(clock, clock, new Incarnation(clock), new Revision(REVISION),
					new Revision(REVISION));
			total += encode(heartbeat).length + FRAME_HEADER_BYTES;
		}
		return total;
	}

	private static Start start(int number, byte[] body) {
		return new Start(taskKey(number), new AttemptId(number), new Partition(number % Partition.COUNT), new Epoch(1),
				CLOCK_NANOS, FleetFixture.PATH, body, TIME_LIMIT_MILLIS, true, 0);
	}

	private static Answer answer(int number, byte[] body) {
		return new Answer(taskKey(number), new AttemptId(number), LedgerState.FINISHED, body, true, RUN_NANOS, 1, true);
	}

	private static TaskKey taskKey(int number) {
		return new TaskKey(new JobKey(FleetFixture.OWNER, "j-001-1-01890a5d-ac96-774b-bcce-b302099a8057"),
				number % 100);
	}

	private byte[] encode(Message message) {
		try {
			return this.codec.encode(message);
		}
		catch (CodecException ex) {
			throw new ProbeException("message cannot be encoded", ex);
		}
	}

	private Message decode(byte[] bytes) {
		try {
			return this.codec.decode(bytes, 0, bytes.length);
		}
		catch (CodecException ex) {
			throw new ProbeException("message cannot be decoded", ex);
		}
	}

}
