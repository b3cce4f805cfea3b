package io.coriandermux.wire;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes the fields of a message in MessagePack. Each length is checked against its
 * limit.
 */
final class FieldWriter {

	private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

	void arrayHeader(int size) throws IOException {
		this.packer.packArrayHeader(size);
	}

	void number(long value) throws IOException {
		this.packer.packLong(value);
	}

	void amount(long value) throws IOException, CodecException {
		if (value < -WireLimits.AMOUNT || value > WireLimits.AMOUNT) {
			throw new CodecException("the amount " + value + " exceeds its limit of " + WireLimits.AMOUNT);
		}
		number(value);
	}

	void flag(boolean value) throws IOException {
		this.packer.packBoolean(value);
	}

	void name(String value) throws IOException, CodecException {
		text(value, WireLimits.NAME_BYTES);
	}

	void text(String value, int maxBytes) throws IOException, CodecException {
		byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
		checkSize(bytes.length, maxBytes);
		this.packer.packRawStringHeader(bytes.length);
		this.packer.writePayload(bytes);
	}

	void bytes(byte[] value, int maxBytes) throws IOException, CodecException {
		checkSize(value.length, maxBytes);
		this.packer.packBinaryHeader(value.length);
		this.packer.writePayload(value);
	}

	<T> void list(List<T> values, int maxCount, ElementWriter<T> writer) throws IOException, CodecException {
		checkSize(values.size(), maxCount);
		this.packer.packArrayHeader(values.size());
		for (T value : values) {
			writer.write(this, value);
		}
	}

	byte[] toByteArray() {
		return this.packer.toByteArray();
	}

	private static void checkSize(int size, int max) throws CodecException {
		if (size > max) {
			throw new CodecException("a field of size " + size + " exceeds its limit of " + max);
		}
	}

	/**
	 * Writes an element of a list or the fields of a message.
	 *
	 * @param <T> type of the element or message
	 */
	@FunctionalInterface
	interface ElementWriter<T> {

		void write(FieldWriter out, T value) throws IOException, CodecException;

	}

}
