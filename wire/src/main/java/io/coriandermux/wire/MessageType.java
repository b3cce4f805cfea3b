package io.coriandermux.wire;

import java.io.IOException;

import io.coriandermux.core.message.Message;

/**
 * Number and field layout of a message type.
 *
 * @param <T> class of the messages
 * @param code type number on the wire
 * @param type class of the messages
 * @param fieldCount number of fields after the header
 * @param writer writes the fields
 * @param reader reads the fields
 */
record MessageType<T extends Message>(int code, Class<T> type, int fieldCount, FieldWriter.ElementWriter<T> writer,
		FieldReader.ElementReader<T> reader) {

	void write(FieldWriter out, Message message) throws IOException, CodecException {
		this.writer.write(out, this.type.cast(message));
	}

	Message read(FieldReader in) throws IOException, CodecException {
		return this.reader.read(in);
	}

}
