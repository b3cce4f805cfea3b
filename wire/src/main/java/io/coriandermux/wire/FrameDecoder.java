package io.coriandermux.wire;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Splits a byte stream into frames. A frame consists of a 4-byte length in network byte
 * order and that many bytes. The buffer grows with the bytes received, not with the
 * length that the frame announces.
 */
public final class FrameDecoder {

	/** Size of the length field in front of a frame in bytes. */
	public static final int LENGTH_BYTES = 4;

	private static final int INITIAL_BUFFER_BYTES = 1024;

	private static final int MAX_RETAINED_BUFFER_BYTES = 64 * 1024;

	private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];

	private int size;

	private int maxFrameBytes;

	/**
	 * Creates a decoder.
	 * @param maxFrameBytes maximum size of a frame in bytes, without the length field
	 */
	public FrameDecoder(int maxFrameBytes) {
		this.maxFrameBytes = maxFrameBytes;
	}

	/**
	 * Changes the limit for the frames that follow.
	 * @param limit maximum size of a frame in bytes, without the length field
	 */
	public void maxFrameBytes(int limit) {
		this.maxFrameBytes = limit;
	}

	/**
	 * Consumes received bytes and passes each frame that they complete to the handler.
	 * @param in the received bytes, all of which are consumed
	 * @param handler receives the frames
	 * @throws CodecException if a frame is empty or exceeds the limit, or the handler
	 * rejects a frame
	 */
	public void feed(ByteBuffer in, FrameHandler handler) throws CodecException {
		while (in.hasRemaining()) {
			if (this.size < LENGTH_BYTES) {
				readUpTo(in, LENGTH_BYTES);
				if (this.size < LENGTH_BYTES) {
					return;
				}
			}
			int length = ByteBuffer.wrap(this.buffer, 0, LENGTH_BYTES).getInt();
			if (length <= 0 || length > this.maxFrameBytes) {
				throw new CodecException("a frame of " + Integer.toUnsignedString(length) + " bytes is outside 1 to "
						+ this.maxFrameBytes);
			}
			readUpTo(in, LENGTH_BYTES + length);
			if (this.size == LENGTH_BYTES + length) {
				this.size = 0;
				handler.onFrame(this.buffer, LENGTH_BYTES, length);
				shrinkBuffer();
			}
		}
	}

	private void readUpTo(ByteBuffer in, int targetSize) {
		int count = Math.min(in.remaining(), targetSize - this.size);
		int newSize = this.size + count;
		if (newSize > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.min(Math.max(newSize, this.buffer.length * 2), targetSize));
		}
		in.get(this.buffer, this.size, count);
		this.size = newSize;
	}

	private void shrinkBuffer() {
		if (this.buffer.length > MAX_RETAINED_BUFFER_BYTES) {
			this.buffer = new byte[INITIAL_BUFFER_BYTES];
		}
	}

	/**
	 * Receives frames.
	 */
	@FunctionalInterface
	public interface FrameHandler {

		/**
		 * Processes a frame. The array is reused after the call.
		 * @param array array that holds the frame
		 * @param offset index of its first byte
		 * @param length number of its bytes
		 * @throws CodecException if the frame is malformed
		 */
		void onFrame(byte[] array, int offset, int length) throws CodecException;

	}

}
