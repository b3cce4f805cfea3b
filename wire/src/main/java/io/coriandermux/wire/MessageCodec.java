package io.coriandermux.wire;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.coriandermux.core.message.Message;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes messages in MessagePack, as an array of the protocol version, the
 * type number and the fields.
 */
public final class MessageCodec {

	/** Protocol version of this build. */
	public static final int VERSION = 1;

	private static final int HEADER_FIELDS = 2;

	private final Map<Integer, MessageType<?>> byCode = new LinkedHashMap<>();

	private final Map<Class<?>, MessageType<?>> byClass = new LinkedHashMap<>();

	/**
	 * Creates a codec for all message types. It has no mutable state.
	 */
	public MessageCodec() {
		Stream.of(TaskMessages.TYPES, CreditMessages.TYPES, PeerMessages.TYPES, RunMessages.TYPES)
			.flatMap(List::stream)
			.forEach((type) -> {
				this.byCode.put(type.code(), type);
				this.byClass.put(type.type(), type);
			});
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return the encoded message without the length of its frame
	 * @throws CodecException if a field or the whole message exceeds its limit
	 */
	public byte[] encode(Message message) throws CodecException {
		MessageType<?> type = this.byClass.get(message.getClass());
		try {
			FieldWriter out = new FieldWriter();
			out.arrayHeader(HEADER_FIELDS + type.fieldCount());
			out.number(VERSION);
			out.number(type.code());
			type.write(out, message);
			byte[] bytes = out.toByteArray();
			if (bytes.length > WireLimits.FRAME_BYTES) {
				throw new CodecException(
						"a message of " + bytes.length + " bytes exceeds the frame limit of " + WireLimits.FRAME_BYTES);
			}
			return bytes;
		}
		catch (IOException ex) {
			throw new CodecException("the message cannot be encoded", ex);
		}
	}

	/**
	 * Decodes a message.
	 * @param array array that holds the message
	 * @param offset index of its first byte
	 * @param length number of its bytes
	 * @return the message
	 * @throws CodecException if the message is malformed or truncated, has another
	 * version or an unknown type, or exceeds a limit
	 */
	public Message decode(byte[] array, int offset, int length) throws CodecException {
		try {
			FieldReader in = new FieldReader(array, offset, length);
			int count = in.arrayHeader(WireLimits.ELEMENTS);
			if (count < HEADER_FIELDS) {
				throw new CodecException("a message has " + count + " fields");
			}
			int version = in.integer();
			if (version != VERSION) {
				throw new CodecException("protocol version " + version + " is not " + VERSION);
			}
			int code = in.integer();
			MessageType<?> type = this.byCode.get(code);
			if (type == null) {
				throw new CodecException("unknown message type " + code);
			}
			if (count != HEADER_FIELDS + type.fieldCount()) {
				throw new CodecException("message type " + code + " has " + (count - HEADER_FIELDS) + " fields where "
						+ type.fieldCount() + " are expected");
			}
			Message message = type.read(in);
			in.expectEnd();
			return message;
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new CodecException("malformed message: " + ex.getMessage(), ex);
		}
	}

}
