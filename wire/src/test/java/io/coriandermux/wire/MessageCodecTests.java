package io.coriandermux.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against fields that are lost or swapped on the wire, and against input that
 * causes anything but a message or a {@link CodecException}.
 */
class MessageCodecTests {

	private final MessageCodec codec = new MessageCodec();

	@Example
	void decodesEachTypeToTheEncodedMessage() throws CodecException {
		Set<Class<?>> types = new HashSet<>();
		for (Message message : SampleMessages.ALL) {
			byte[] bytes = this.codec.encode(message);
			assertThat(this.codec.decode(bytes, 0, bytes.length)).usingRecursiveComparison().isEqualTo(message);
			types.add(message.getClass());
		}
		assertThat(types).containsExactlyInAnyOrder(Message.class.getPermittedSubclasses());
	}

	@Example
	void rejectsTruncatedMessages() throws CodecException {
		for (Message message : SampleMessages.ALL) {
			byte[] bytes = this.codec.encode(message);
			int step = Math.max(1, bytes.length / 200);
			for (int length = 0; length < bytes.length; length += step) {
				int truncatedLength = length;
				assertThatExceptionOfType(CodecException.class)
					.isThrownBy(() -> this.codec.decode(bytes, 0, truncatedLength));
			}
		}
	}

	@Example
	void rejectsBytesAfterTheMessage() throws CodecException {
		byte[] bytes = this.codec.encode(SampleMessages.ALL.get(0));
		byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> this.codec.decode(longer, 0, longer.length));
	}

	@Example
	void rejectsEncodingOfAPayloadThatExceedsItsLimit() {
		Start start = new Start(SampleMessages.TASK, new AttemptId(1), new Partition(1), new Epoch(1), 0, "/p",
				new byte[16 * 1024 + 1], 1, false, 0);
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> this.codec.encode(start));
	}

	// Guards against amounts whose sums overflow at the receiver.
	@Example
	void rejectsAmountsOutOfRange() throws CodecException {
		ResourceAmounts valid = new ResourceAmounts(WireLimits.AMOUNT, 1, 1);
		for (long odd : new long[] { Long.MAX_VALUE, Long.MIN_VALUE, WireLimits.AMOUNT + 1 }) {
			assertThatExceptionOfType(CodecException.class)
				.isThrownBy(() -> this.codec.encode(changed(new ResourceAmounts(odd, 1, 1))));
		}
		byte[] bytes = this.codec.encode(changed(valid));
		int position = 0;
		while (ByteBuffer.wrap(bytes).getLong(position) != WireLimits.AMOUNT) {
			position++;
		}
		ByteBuffer.wrap(bytes).putLong(position, WireLimits.AMOUNT + 1);
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> this.codec.decode(bytes, 0, bytes.length))
			.withMessageContaining("exceeds its limit");
	}

	private static EndpointChanged changed(ResourceAmounts capacity) {
		return new EndpointChanged(
				new EndpointLoad(new PoolName("orders"), Set.of(), capacity, ResourceAmounts.NONE, true), 1);
	}

	@Example
	void rejectsALengthThatExceedsTheReceivedBytes() {
		byte[] fence = { (byte) 0x93, 1, 14, (byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff };
		byte[] configPush = { (byte) 0x94, 1, 33, 1, (byte) 0xdc, (byte) 0xff, (byte) 0xff };
		for (byte[] bytes : List.of(fence, configPush)) {
			assertThatExceptionOfType(CodecException.class).isThrownBy(() -> this.codec.decode(bytes, 0, bytes.length));
		}
	}

	@Property(seed = "4711", tries = 2000)
	void decodesRandomBytesToAMessageOrACodecException(@ForAll @Size(max = 200) byte[] bytes) {
		assertDecodesOrThrowsCodecException(bytes);
	}

	@Property(seed = "4712", tries = 3000)
	void decodesACorruptedByteToAMessageOrACodecException(@ForAll @IntRange(max = 30) int index,
			@ForAll @IntRange(max = 200) int position, @ForAll byte value) throws CodecException {
		byte[] bytes = this.codec.encode(SampleMessages.ALL.get(index));
		bytes[position % bytes.length] = value;
		assertDecodesOrThrowsCodecException(bytes);
	}

	private void assertDecodesOrThrowsCodecException(byte[] bytes) {
		try {
			assertThat(this.codec.decode(bytes, 0, bytes.length)).isNotNull();
		}
		catch (CodecException ex) {
			assertThat(ex.getMessage()).isNotBlank();
		}
	}

}
