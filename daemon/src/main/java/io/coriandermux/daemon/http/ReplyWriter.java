package io.coriandermux.daemon.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.TaskResult;
import io.undertow.util.StatusCodes;

/**
 * Converts replies to callers to JSON. It has no mutable state.
 */
final class ReplyWriter {

	private final ObjectMapper json = new ObjectMapper();

	JsonReply write(CallerReply reply) {
		if (reply instanceof JobOutcome outcome) {
			return writeOutcome(outcome);
		}
		if (reply instanceof JobRunning running) {
			ObjectNode node = this.json.createObjectNode();
			node.put("outcome", "running");
			node.put("job", running.job());
			node.put("queued", running.queued());
			node.put("running", running.running());
			node.put("finished", running.finished());
			return toReply(StatusCodes.ACCEPTED, node, 0);
		}
		if (reply instanceof JobIdReserved reserved) {
			return toReply(StatusCodes.CREATED, this.json.createObjectNode().put("job", reserved.job().text()), 0);
		}
		Refusal refusal = (Refusal) reply;
		return error(statusOf(refusal.code()), wireName(refusal.outcome()), wireName(refusal.code()), refusal.reason(),
				refusal.retryAfterMillis());
	}

	JsonReply error(int status, String outcome, String code, String reason, long retryAfterMillis) {
		ObjectNode node = this.json.createObjectNode();
		node.put("outcome", outcome);
		node.put("code", code);
		node.put("reason", reason);
		node.put("retryAfterMs", retryAfterMillis);
		return toReply(status, node, retryAfterMillis);
	}

	static String wireName(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

	static int statusOf(ReplyCode code) {
		switch (code) {
			case OK:
				return StatusCodes.OK;
			case BAD_REQUEST:
			case CLOCK_SKEW:
				return StatusCodes.BAD_REQUEST;
			case NO_ROUTE:
			case UNKNOWN_JOB:
				return StatusCodes.NOT_FOUND;
			case ID_CONFLICT:
			case CANCELLED:
				return StatusCodes.CONFLICT;
			case ID_EXPIRED:
				return StatusCodes.GONE;
			case IMPOSSIBLE:
				return StatusCodes.UNPROCESSABLE_ENTITY;
			case QUOTA:
				return StatusCodes.TOO_MANY_REQUESTS;
			case DEADLINE:
			case TIME_LIMIT:
				return StatusCodes.GATEWAY_TIME_OUT;
			case ENDPOINT_FAILED:
			case GUARD_LOST:
			case HOME_LOST:
			case ANSWER_DROPPED:
				return StatusCodes.BAD_GATEWAY;
			default:
				return StatusCodes.SERVICE_UNAVAILABLE;
		}
	}

	private JsonReply writeOutcome(JobOutcome outcome) {
		boolean complete = outcome.outcome() == Outcome.COMPLETE;
		ObjectNode node = this.json.createObjectNode();
		node.put("outcome", wireName(outcome.outcome()));
		node.put("code", wireName(outcome.code()));
		node.put("reason", outcome.reason());
		node.put("retryAfterMs", 0);
		node.put("job", outcome.job());
		ArrayNode tasks = node.putArray("tasks");
		for (TaskResult task : outcome.tasks()) {
			ObjectNode result = tasks.addObject();
			result.put("outcome", wireName(task.outcome()));
			if (!task.reason().isEmpty()) {
				result.put("reason", task.reason());
			}
			if (complete) {
				putBody(result, task.body());
			}
		}
		return toReply(complete ? StatusCodes.OK : statusOf(outcome.code()), node, 0);
	}

	private static void putBody(ObjectNode result, byte[] body) {
		try {
			result.put("body", StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString());
		}
		catch (CharacterCodingException ex) {
			result.put("bodyBase64", Base64.getEncoder().encodeToString(body));
		}
	}

	private JsonReply toReply(int status, ObjectNode node, long retryAfterMillis) {
		try {
			return new JsonReply(status, this.json.writeValueAsBytes(node), retryAfterMillis);
		}
		catch (JsonProcessingException ex) {
			return new JsonReply(StatusCodes.INTERNAL_SERVER_ERROR, new byte[0], 0);
		}
	}

}
