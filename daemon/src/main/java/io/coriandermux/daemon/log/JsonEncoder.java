package io.coriandermux.daemon.log;

import java.nio.charset.StandardCharsets;
import java.time.Instant;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes a log record as one line of JSON.
 */
public final class JsonEncoder extends EncoderBase<ILoggingEvent> {

	static final String EVENT = "event";

	static final String SUBJECT = "subject";

	static final String SUPPRESSED = "leftOut";

	private static final byte[] EMPTY = {};

	private final ObjectMapper json = new ObjectMapper();

	/**
	 * Creates the encoder.
	 */
	public JsonEncoder() {
		// The encoder has no options.
	}

	@Override
	public byte[] headerBytes() {
		return EMPTY;
	}

	@Override
	public byte[] encode(ILoggingEvent record) {
		ObjectNode node = this.json.createObjectNode();
		node.put("time", Instant.ofEpochMilli(record.getTimeStamp()).toString());
		node.put("level", record.getLevel().toString());
		node.put(EVENT, Integer.parseInt(record.getMDCPropertyMap().getOrDefault(EVENT, "0")));
		node.put("process", record.getLoggerName());
		node.put("thread", record.getThreadName());
		node.put("message", record.getFormattedMessage());
		record.getMDCPropertyMap().forEach((name, value) -> {
			if (!EVENT.equals(name)) {
				node.put(name, value);
			}
		});
		if (record.getThrowableProxy() != null) {
			node.put("cause", ThrowableProxyUtil.asString(record.getThrowableProxy()));
		}
		try {
			return (this.json.writeValueAsString(node) + "\n").getBytes(StandardCharsets.UTF_8);
		}
		catch (JsonProcessingException ex) {
			addError("a log record cannot be encoded as JSON", ex);
			return EMPTY;
		}
	}

	@Override
	public byte[] footerBytes() {
		return EMPTY;
	}

}
