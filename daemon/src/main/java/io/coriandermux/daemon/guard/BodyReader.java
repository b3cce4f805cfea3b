package io.coriandermux.daemon.guard;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a response. A body that exceeds the limit is a failure.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {

	private static final int BUFFER_BYTES = 4096;

	private final ByteBuffer buffer = ByteBuffer.allocate(BUFFER_BYTES);

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final int maxBytes;

	private final Consumer<byte[]> onComplete;

	private final Consumer<String> onFailure;

	BodyReader(int maxBytes, Consumer<byte[]> onComplete, Consumer<String> onFailure) {
		this.maxBytes = maxBytes;
		this.onComplete = onComplete;
		this.onFailure = onFailure;
	}

	@Override
	public void handleEvent(StreamSourceChannel channel) {
		try {
			int count = channel.read(this.buffer);
			while (count > 0) {
				this.body.write(this.buffer.array(), 0, this.buffer.position());
				this.buffer.clear();
				if (this.body.size() > this.maxBytes) {
					this.onFailure.accept("the answer exceeds the limit of " + this.maxBytes + " bytes");
					return;
				}
				count = channel.read(this.buffer);
			}
			if (count < 0) {
				this.onComplete.accept(this.body.toByteArray());
				return;
			}
			channel.getReadSetter().set(this);
			channel.resumeReads();
		}
		catch (IOException ex) {
			this.onFailure.accept("the endpoint broke the connection: " + ex.getMessage());
		}
	}

}
