package io.coriandermux.wire;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against frames that are split or joined incorrectly when the network fragments
 * the byte stream, and against lengths that are accepted beyond the limit.
 */
class FrameDecoderTests {

	@Property(seed = "4713", tries = 100)
	void decodesTheSameFramesForAnyFragmentation(
			@ForAll @Size(min = 1, max = 12) List<@IntRange(min = 1, max = 5000) Integer> sizes,
			@ForAll @IntRange(min = 1, max = 3000) int fragmentBytes) throws CodecException {
		ByteBuffer stream = ByteBuffer.allocate(80_000);
		List<byte[]> sent = new ArrayList<>();
		for (int size : sizes) {
			byte[] frame = new byte[size];
			Arrays.fill(frame, (byte) (size + sent.size()));
			sent.add(frame);
			stream.putInt(size).put(frame);
		}
		List<byte[]> decoded = new ArrayList<>();
		FrameDecoder decoder = new FrameDecoder(WireLimits.FRAME_BYTES);
		int end = stream.position();
		for (int start = 0; start < end; start += fragmentBytes) {
			decoder.feed(ByteBuffer.wrap(stream.array(), start, Math.min(fragmentBytes, end - start)),
					(array, offset, length) -> decoded.add(Arrays.copyOfRange(array, offset, offset + length)));
		}
		assertThat(decoded).usingRecursiveComparison().isEqualTo(sent);
	}

	@Example
	void rejectsAnInvalidLengthBeforeTheFrameArrives() {
		for (int length : new int[] { 0, -1, WireLimits.FRAME_BYTES + 1, Integer.MIN_VALUE }) {
			FrameDecoder decoder = new FrameDecoder(WireLimits.FRAME_BYTES);
			ByteBuffer in = ByteBuffer.allocate(8).putInt(0, length);
			assertThatExceptionOfType(CodecException.class).isThrownBy(() -> decoder.feed(in, (array, offset, size) -> {
			}));
		}
	}

}
