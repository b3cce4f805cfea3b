package io.coriandermux.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.coriandermux.core.message.Message;

/**
 * One TCP connection with its handshake, its unsent bytes and its undelivered messages.
 * Used by the link thread only.
 */
final class Connection {

	private static final int MAX_GATHER = 64;

	private final SocketChannel channel;

	private final Handshake handshake;

	private final Optional<PeerName> expected;

	private final FrameDecoder decoder = new FrameDecoder(WireLimits.HANDSHAKE_FRAME_BYTES);

	private final Deque<ByteBuffer> unsent = new ArrayDeque<>();

	private final Deque<Message> undelivered = new ArrayDeque<>();

	private final long openedNanos;

	private SelectionKey key;

	private long unsentBytes;

	private boolean established;

	private long heardNanos;

	private long heartbeatSentNanos;

	private long sentNanos;

	private long peerClockNanos;

	Connection(SocketChannel channel, Handshake handshake, Optional<PeerName> expected, long nowNanos) {
		this.channel = channel;
		this.handshake = handshake;
		this.expected = expected;
		this.openedNanos = nowNanos;
		this.heardNanos = nowNanos;
	}

	void key(SelectionKey selectionKey) {
		this.key = selectionKey;
	}

	SocketChannel channel() {
		return this.channel;
	}

	boolean opener() {
		return this.expected.isPresent();
	}

	Optional<PeerName> expected() {
		return this.expected;
	}

	boolean established() {
		return this.established;
	}

	PeerIdentity peer() {
		return this.handshake.peer();
	}

	long openedNanos() {
		return this.openedNanos;
	}

	long heardNanos() {
		return this.heardNanos;
	}

	void heard(long nowNanos) {
		this.heardNanos = nowNanos;
	}

	long heartbeatSentNanos() {
		return this.heartbeatSentNanos;
	}

	void heartbeatSent(long nowNanos) {
		this.heartbeatSentNanos = nowNanos;
	}

	/**
	 * Returns when bytes were last written to the connection.
	 * @return the time on the monotonic clock, 0 if none were
	 */
	long sentNanos() {
		return this.sentNanos;
	}

	void sent(long nowNanos) {
		this.sentNanos = nowNanos;
	}

	long peerClockNanos() {
		return this.peerClockNanos;
	}

	void peerClock(long nanos) {
		this.peerClockNanos = nanos;
	}

	long unsentBytes() {
		return this.unsentBytes;
	}

	Deque<Message> undelivered() {
		return this.undelivered;
	}

	String label() {
		return this.established ? peer().name().toString() : this.expected.map(PeerName::toString).orElse("caller");
	}

	/**
	 * Sends the first frame of the handshake.
	 * @throws CodecException if the identity of this process exceeds a limit
	 */
	void begin() throws CodecException {
		enqueue(this.handshake.first());
	}

	/**
	 * Takes a frame of the handshake.
	 * @param array array that holds the frame
	 * @param offset index of its first byte
	 * @param length number of its bytes
	 * @return whether the connection is now established
	 * @throws CodecException if the frame is malformed or its proof is wrong
	 */
	boolean handshake(byte[] array, int offset, int length) throws CodecException {
		Optional<byte[]> answer = this.handshake.receive(array, offset, length);
		answer.ifPresent(this::enqueue);
		if (!this.handshake.complete()) {
			return false;
		}
		if (this.expected.isPresent() && !this.expected.get().equals(peer().name())) {
			throw new CodecException("the address belongs to " + peer().name() + ", not to " + this.expected.get());
		}
		this.established = true;
		this.decoder.maxFrameBytes(WireLimits.FRAME_BYTES);
		return true;
	}

	void feed(ByteBuffer in, FrameDecoder.FrameHandler handler) throws CodecException {
		this.decoder.feed(in, handler);
	}

	void enqueue(byte[] frame) {
		ByteBuffer head = ByteBuffer.allocate(FrameDecoder.LENGTH_BYTES + frame.length);
		head.putInt(frame.length).put(frame).flip();
		this.unsent.add(head);
		this.unsentBytes += head.remaining();
	}

	/**
	 * Writes as much as the socket takes; waiting frames go out in one call.
	 * @return the bytes written
	 * @throws IOException if the connection is broken
	 */
	long flush() throws IOException {
		if (!this.channel.isConnected()) {
			return 0;
		}
		long total = 0;
		while (!this.unsent.isEmpty()) {
			int count = Math.min(this.unsent.size(), MAX_GATHER);
			ByteBuffer[] batch = new ByteBuffer[count];
			int index = 0;
			for (ByteBuffer buffer : this.unsent) {
				if (index == count) {
					break;
				}
				batch[index] = buffer;
				index++;
			}
			long written = this.channel.write(batch);
			this.unsentBytes -= written;
			total += written;
			while (!this.unsent.isEmpty() && !this.unsent.peek().hasRemaining()) {
				this.unsent.remove();
			}
			if (written == 0) {
				break;
			}
		}
		interest();
		return total;
	}

	/**
	 * Waits for input unless messages are undelivered, and for room if bytes are unsent.
	 */
	void interest() {
		if (!this.key.isValid() || !this.channel.isConnected()) {
			return;
		}
		int read = this.undelivered.isEmpty() ? SelectionKey.OP_READ : 0;
		int write = this.unsent.isEmpty() ? 0 : SelectionKey.OP_WRITE;
		if (this.key.interestOps() != (read | write)) {
			this.key.interestOps(read | write);
		}
	}

	void close() {
		if (this.key != null) {
			this.key.cancel();
		}
		try {
			this.channel.close();
		}
		catch (IOException ex) {
			// The connection is given up; an error of its close tells nothing more.
		}
	}

}
