package io.coriandermux.daemon.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.daemon.run.JsonInput;

/**
 * Parses the bodies of callers' requests. It has no mutable state.
 */
final class RequestParser {

	/** Maximum number of tasks in a job. */
	static final int MAX_TASKS = 150;

	/** Maximum size of a task's payload in bytes. */
	static final int MAX_PAYLOAD_BYTES = 16 * 1024;

	/** Maximum deadline in milliseconds: one hour. */
	static final long MAX_DEADLINE_MILLIS = 3_600_000;

	private static final int MAX_NESTING_DEPTH = 64;

	private static final int MAX_RESOURCE_AMOUNT = 100_000_000;

	private static final String PATH_PATTERN = "/[!-~&&[^?#%\\\\\"<>^`{|}]]{0,1023}";

	private static final Set<String> JOB_FIELDS = Set.of("id", "createdAt", "deadlineMs", "nonIdempotent", "tasks");

	private static final Set<String> TASK_FIELDS = Set.of("path", "payload", "payloadBase64", "needs", "declaredMs");

	private static final Set<String> NEEDS_FIELDS = Set.of("cores", "memoryMb", "accelerators");

	private final ObjectMapper json = JsonMapper
		.builder(JsonFactory.builder()
			.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
			.build())
		.enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
		.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
		.build();

	/**
	 * Parses a job submission.
	 * @param owner the authenticated owner
	 * @param body the request body
	 * @param waitMillis maximum time to wait for the outcome in milliseconds
	 * @param nowMillis current wall-clock time in milliseconds, which is the creation
	 * time of a job without an id
	 * @return the submission
	 * @throws MalformedRequestException if the body is invalid
	 */
	Submission parseSubmission(OwnerId owner, byte[] body, long waitMillis, long nowMillis)
			throws MalformedRequestException {
		JsonNode node = parseJson(body);
		requireObject(node, "the body", JOB_FIELDS);
		Optional<JobId> id = optionalId(node);
		long createdAt = createdAt(node, id, nowMillis);
		long deadline = requireInteger(node, "deadlineMs", 1, MAX_DEADLINE_MILLIS);
		boolean nonIdempotent = optionalBoolean(node, "nonIdempotent");
		JsonNode taskNodes = node.path("tasks");
		if (!taskNodes.isArray() || taskNodes.isEmpty() || taskNodes.size() > MAX_TASKS) {
			throw new MalformedRequestException("tasks: a list of 1 to " + MAX_TASKS + " tasks is expected");
		}
		List<TaskSpec> tasks = new ArrayList<>(taskNodes.size());
		for (int index = 0; index < taskNodes.size(); index++) {
			tasks.add(parseTask(taskNodes.get(index), "tasks[" + index + "]"));
		}
		return new Submission(id,
				(job) -> new SubmitJob(owner, job, createdAt, deadline, nonIdempotent, tasks, waitMillis));
	}

	/**
	 * Parses a job id.
	 * @param text the id
	 * @return the id
	 * @throws MalformedRequestException if the text is not a valid job id
	 */
	static JobId parseJobId(String text) throws MalformedRequestException {
		try {
			return new JobId(text);
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedRequestException("id: " + ex.getMessage());
		}
	}

	private JsonNode parseJson(byte[] body) throws MalformedRequestException {
		try {
			return this.json.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw new MalformedRequestException("the body is not JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new MalformedRequestException("the body is not JSON in UTF-8");
		}
	}

	private static Optional<JobId> optionalId(JsonNode node) throws MalformedRequestException {
		JsonNode id = node.path("id");
		if (id.isMissingNode()) {
			return Optional.empty();
		}
		if (!id.isTextual()) {
			throw new MalformedRequestException("id: a text is expected");
		}
		return Optional.of(parseJobId(id.textValue()));
	}

	private static long createdAt(JsonNode node, Optional<JobId> id, long nowMillis) throws MalformedRequestException {
		// The time in an id, or the arrival time of a job without an id, takes precedence
		// over the field.
		OptionalLong preferred = id.map(JobId::createdAtMillis).orElse(OptionalLong.of(nowMillis));
		if (node.has("createdAt")) {
			long specified = requireInteger(node, "createdAt", 0, Long.MAX_VALUE);
			return preferred.orElse(specified);
		}
		if (preferred.isEmpty()) {
			throw new MalformedRequestException("createdAt: mandatory with an id that carries no time; "
					+ "milliseconds since 1970-01-01 UTC are expected");
		}
		return preferred.getAsLong();
	}

	private TaskSpec parseTask(JsonNode node, String location) throws MalformedRequestException {
		requireObject(node, location, TASK_FIELDS);
		JsonNode path = node.path("path");
		if (!path.isTextual() || !path.textValue().matches(PATH_PATTERN)) {
			throw new MalformedRequestException(
					location + ".path: a path that begins with / and has at most 1024 characters is expected");
		}
		byte[] payload = parsePayload(node, location);
		if (payload.length > MAX_PAYLOAD_BYTES) {
			throw new MalformedRequestException(
					location + ".payload: " + payload.length + " bytes exceed the limit of " + MAX_PAYLOAD_BYTES);
		}
		Resources needs = node.has("needs") ? parseNeeds(node.get("needs"), location + ".needs") : Resources.NONE;
		long declaredMillis = node.has("declaredMs") ? requireInteger(node, "declaredMs", 0, MAX_DEADLINE_MILLIS) : 0;
		return new TaskSpec(path.textValue(), payload, needs, declaredMillis);
	}

	private byte[] parsePayload(JsonNode node, String location) throws MalformedRequestException {
		if (node.has("payload") == node.has("payloadBase64")) {
			throw new MalformedRequestException(location + ": exactly one of payload and payloadBase64 is expected");
		}
		if (node.has("payload")) {
			JsonNode payload = node.get("payload");
			String text = payload.isTextual() ? payload.textValue() : payload.toString();
			if (!JsonInput.isEncodable(text)) {
				throw new MalformedRequestException(location + ".payload: the text has an unpaired surrogate");
			}
			return text.getBytes(StandardCharsets.UTF_8);
		}
		try {
			return Base64.getDecoder().decode(node.get("payloadBase64").asText("?"));
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedRequestException(location + ".payloadBase64: Base64 is expected");
		}
	}

	private static Resources parseNeeds(JsonNode node, String location) throws MalformedRequestException {
		requireObject(node, location, NEEDS_FIELDS);
		return new Resources(optionalAmount(node, "cores"), optionalAmount(node, "memoryMb"),
				optionalAmount(node, "accelerators"));
	}

	private static int optionalAmount(JsonNode node, String field) throws MalformedRequestException {
		return node.has(field) ? (int) requireInteger(node, field, 0, MAX_RESOURCE_AMOUNT) : 0;
	}

	private static void requireObject(JsonNode node, String location, Set<String> fields)
			throws MalformedRequestException {
		if (!node.isObject()) {
			throw new MalformedRequestException(location + ": an object is expected");
		}
		Iterator<String> names = node.fieldNames();
		while (names.hasNext()) {
			String name = names.next();
			if (!fields.contains(name)) {
				throw new MalformedRequestException(location + ": unknown field " + name);
			}
		}
	}

	private static long requireInteger(JsonNode node, String field, long min, long max)
			throws MalformedRequestException {
		JsonNode value = node.path(field);
		if (!value.isIntegralNumber() || !value.canConvertToLong() || value.longValue() < min
				|| value.longValue() > max) {
			throw new MalformedRequestException(field + ": a whole number from " + min + " to " + max + " is expected");
		}
		return value.longValue();
	}

	private static boolean optionalBoolean(JsonNode node, String field) throws MalformedRequestException {
		JsonNode value = node.path(field);
		if (!value.isMissingNode() && !value.isBoolean()) {
			throw new MalformedRequestException(field + ": true or false is expected");
		}
		return value.asBoolean(false);
	}

}
