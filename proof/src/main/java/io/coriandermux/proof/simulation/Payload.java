package io.coriandermux.proof.simulation;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

import io.coriandermux.core.id.TaskKey;

/**
 * The payload of a simulated task: its owner, its job and its run time.
 *
 * @param owner the owner as text
 * @param name name of the job in the trace
 * @param index position of the task in its job
 * @param runMillis actual run time in milliseconds
 */
public record Payload(String owner, String name, int index, long runMillis) {

	private static final String SEPARATOR = "|";

	private static final int FIELDS = 4;

	/**
	 * Parses a payload.
	 * @param bytes the encoded payload
	 * @return the payload
	 */
	public static Payload parse(byte[] bytes) {
		String[] parts = new String(bytes, StandardCharsets.UTF_8).split(Pattern.quote(SEPARATOR), FIELDS);
		return new Payload(parts[0], parts[1], Integer.parseInt(parts[2]), Long.parseLong(parts[FIELDS - 1]));
	}

	/**
	 * Encodes this payload.
	 * @return the encoded payload
	 */
	public byte[] bytes() {
		return String
			.join(SEPARATOR, this.owner, this.name, Integer.toString(this.index), Long.toString(this.runMillis))
			.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the answer of an endpoint to a task, derived from its headers and payload.
	 * @param task the task identified by its headers
	 * @param payload the payload received
	 * @return the answer
	 */
	public static byte[] answer(TaskKey task, byte[] payload) {
		String text = "answer to " + task + " " + new String(payload, StandardCharsets.UTF_8);
		return text.getBytes(StandardCharsets.UTF_8);
	}

}
