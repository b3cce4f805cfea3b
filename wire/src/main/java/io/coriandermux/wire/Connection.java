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
 * A TCP connection to a peer with its handshake, its unsent frames and its undelivered
 * messages. Not thread-safe: used by the link thread only.
 */
final class Connection {

	private static final int MAX_BUFFERS_PER_WRITE = 64;

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

	private long lastActivityNanos;

	private long lastHeartbeatSentNanos;

	private long lastWriteNanos;

	private long heartbeatEchoNanos;

	Connection(SocketChannel channel, Handshake handshake, Optional<PeerName> expected, long nowNanos) {
		this.channel = channel;
		this.handshake = handshake;
		this.expected = expected;
		this.openedNanos = nowNanos;
		this.lastActivityNanos = nowNanos;
	}

	void key(SelectionKey selectionKey) {
		this.key = selectionKey;
	}

	SocketChannel channel() {
		return this.channel;
	}

	boolean isInitiator() {
		return this.expected.isPresent();
	}

	Optional<PeerName> expected() {
		return this.expected;
	}

	boolean isEstablished() {
		return this.established;
	}

	PeerIdentity peer() {
		return this.handshake.peer();
	}

	long openedNanos() {
		return this.openedNanos;
	}

	long lastActivityNanos() {
		return this.lastActivityNanos;
	}

	void recordActivity(long nowNanos) {
		this.lastActivityNanos = nowNanos;
	}

	long lastHeartbeatSentNanos() {
		return this.lastHeartbeatSentNanos;
	}

	void recordHeartbeatSent(long nowNanos) {
		this.lastHeartbeatSentNanos = nowNanos;
	}

	/**
	 * Returns the time of the last write to the socket.
	 * @return reading of the monotonic clock in nanoseconds, 0 if nothing was written
	 */
	long lastWriteNanos() {
		return this.lastWriteNanos;
	}

	void recordWrite(long nowNanos) {
		this.lastWriteNanos = nowNanos;
	}

	long heartbeatEchoNanos() {
		return this.heartbeatEchoNanos;
	}

	void heartbeatEcho(long clockNanos) {
		this.heartbeatEchoNanos = clockNanos;
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
	void startHandshake() throws CodecException {
		enqueue(this.handshake.firstFrame());
	}

	/**
	 * Processes a handshake frame of the peer.
	 * @param array array that holds the frame
	 * @param offset index of its first byte
	 * @param length number of its bytes
	 * @return whether the connection is now established
	 * @throws CodecException if the frame is malformed or its proof is wrong
	 */
	boolean receiveHandshakeFrame(byte[] array, int offset, int length) throws CodecException {
		Optional<byte[]> response = this.handshake.receive(array, offset, length);
		response.ifPresent(this::enqueue);
		if (!this.handshake.isComplete()) {
			return false;
		}
		if (this.expected.isPresent() && !this.expected.get().equals(peer().name())) {
			throw new CodecException(
					"the process at this address is " + peer().name() + ", expected " + this.expected.get());
		}
		this.established = true;
		this.decoder.maxFrameBytes(WireLimits.FRAME_BYTES);
		return true;
	}

	void feed(ByteBuffer in, FrameDecoder.FrameHandler handler) throws CodecException {
		this.decoder.feed(in, handler);
	}

	void enqueue(byte[] frame) {
		ByteBuffer buffer = ByteBuffer.allocate(FrameDecoder.LENGTH_BYTES + frame.length);
		buffer.putInt(frame.length).put(frame).flip();
		this.unsent.add(buffer);
		this.unsentBytes += buffer.remaining();
	}

	/**
	 * Writes unsent frames until the socket accepts no more. Several frames are combined
	 * into one gathering write.
	 * @return number of bytes written
	 * @throws IOException if the connection is broken
	 */
	long flush() throws IOException {
		if (!this.channel.isConnected()) {
			return 0;
		}
		long total = 0;
		while (!this.unsent.isEmpty()) {
			int count = Math.min(this.unsent.size(), MAX_BUFFERS_PER_WRITE);
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
		updateInterestOps();
		return total;
	}

	/**
	 * Registers interest in reads unless messages are undelivered, and in writes if bytes
	 * are unsent.
	 */
	void updateInterestOps() {
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
			// Ignored: the connection is discarded whether or not the close succeeds.
		}
	}

}
