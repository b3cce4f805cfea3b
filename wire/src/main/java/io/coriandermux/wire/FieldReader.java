package io.coriandermux.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of a message. Each length is checked against its limit and against the
 * remaining bytes before memory is allocated for it.
 */
final class FieldReader {

	private static final byte[] NO_BYTES = {};

	private final MessageUnpacker unpacker;

	private final int length;

	FieldReader(byte[] array, int offset, int length) {
		this.unpacker = MessagePack.newDefaultUnpacker(array, offset, length);
		this.length = length;
	}

	int arrayHeader(int maxCount) throws IOException, CodecException {
		int count = this.unpacker.unpackArrayHeader();
		checkSize(count, maxCount);
		return count;
	}

	void arrayHeader(int expected, String element) throws IOException, CodecException {
		int count = arrayHeader(WireLimits.ELEMENTS);
		if (count != expected) {
			throw new CodecException(element + " has " + count + " fields where " + expected + " are expected");
		}
	}

	long number() throws IOException {
		return this.unpacker.unpackLong();
	}

	int integer() throws IOException {
		return this.unpacker.unpackInt();
	}

	int count() throws IOException, CodecException {
		int value = this.unpacker.unpackInt();
		if (value < 0) {
			throw new CodecException("the count " + value + " is negative");
		}
		return value;
	}

	// An amount is negative where more of a resource is used than there is.
	long amount() throws IOException, CodecException {
		long value = this.unpacker.unpackLong();
		if (value < -WireLimits.AMOUNT || value > WireLimits.AMOUNT) {
			throw new CodecException("the amount " + value + " exceeds its limit of " + WireLimits.AMOUNT);
		}
		return value;
	}

	boolean flag() throws IOException {
		return this.unpacker.unpackBoolean();
	}

	<E extends Enum<E>> E enumConstant(E[] values) throws IOException, CodecException {
		int ordinal = this.unpacker.unpackInt();
		if (ordinal < 0 || ordinal >= values.length) {
			throw new CodecException(
					"the number " + ordinal + " is not a constant of " + values.getClass().getComponentType());
		}
		return values[ordinal];
	}

	String name() throws IOException, CodecException {
		return text(WireLimits.NAME_BYTES);
	}

	String text(int maxBytes) throws IOException, CodecException {
		int size = this.unpacker.unpackRawStringHeader();
		byte[] bytes = readPayload(size, maxBytes);
		try {
			return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
		}
		catch (CharacterCodingException ex) {
			throw new CodecException("a string is not valid UTF-8", ex);
		}
	}

	byte[] bytes(int maxBytes) throws IOException, CodecException {
		return readPayload(this.unpacker.unpackBinaryHeader(), maxBytes);
	}

	<T> List<T> list(int maxCount, ElementReader<T> reader) throws IOException, CodecException {
		int count = arrayHeader(maxCount);
		List<T> values = new ArrayList<>(count);
		for (int index = 0; index < count; index++) {
			values.add(reader.read(this));
		}
		return values;
	}

	void expectEnd() throws CodecException {
		if (remainingBytes() != 0) {
			throw new CodecException("the message is followed by " + remainingBytes() + " bytes");
		}
	}

	private byte[] readPayload(int size, int maxBytes) throws IOException, CodecException {
		checkSize(size, maxBytes);
		return (size == 0) ? NO_BYTES : this.unpacker.readPayload(size);
	}

	private void checkSize(int size, int max) throws CodecException {
		if (size < 0 || size > max) {
			throw new CodecException("a field of size " + size + " exceeds its limit of " + max);
		}
		if (size > remainingBytes()) {
			throw new CodecException(
					"a field of size " + size + " exceeds the " + remainingBytes() + " remaining bytes");
		}
	}

	private long remainingBytes() {
		return this.length - this.unpacker.getTotalReadBytes();
	}

	/**
	 * Reads an element of a list or the fields of a message.
	 *
	 * @param <T> type of the element or message
	 */
	@FunctionalInterface
	interface ElementReader<T> {

		T read(FieldReader in) throws IOException, CodecException;

	}

}
