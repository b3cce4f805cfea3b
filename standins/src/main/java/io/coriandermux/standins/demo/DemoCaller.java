package io.coriandermux.standins.demo;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;

/**
 * Caller that submits a job until it has an outcome. After a lost answer or an undecided
 * reply it sends the same request to the next entry.
 */
final class DemoCaller {

	private static final long TIMEOUT_MILLIS = 45_000;

	private static final long LONG_POLL_MILLIS = 10_000;

	private static final long MIN_RETRY_DELAY_MILLIS = 200;

	private static final int BAD_REQUEST = 400;

	private static final int UNAUTHORIZED = 401;

	private final ProcessClient client;

	private final Map<String, String> keys;

	private final InstantSource clock;

	private final List<String> entries;

	DemoCaller(ProcessClient client, Map<String, String> keys, InstantSource clock, List<String> entries) {
		this.client = client;
		this.keys = keys;
		this.clock = clock;
		this.entries = entries;
	}

	/**
	 * Adds an id to the request of a job: one issued by an entry, or a free-form id.
	 * @param job the job
	 * @param entry index of the entry that issues the id
	 * @return the request with the id
	 * @throws InterruptedException if the thread is interrupted
	 */
	ObjectNode requestWithId(DemoJob job, int entry) throws InterruptedException {
		ObjectNode request = job.request().deepCopy();
		if (job.issuedId()) {
			for (int i = 0; i < this.entries.size(); i++) {
				try {
					JsonNode reply = this.client.parse(send("POST", "/v1/job-ids", job.owner(), entry + i, ""));
					if (reply.path("job").isTextual()) {
						return request.put("id", reply.path("job").asText());
					}
				}
				catch (HttpCallException ex) {
					pause(MIN_RETRY_DELAY_MILLIS);
				}
			}
		}
		return request.put("id", "demo-" + job.name()).put("createdAt", this.clock.millis());
	}

	/**
	 * Submits a job until it has an outcome or the timeout expires.
	 * @param job the job
	 * @param request the request with its id
	 * @param entry index of the entry that gets the first submission
	 * @return the result of the job
	 * @throws InterruptedException if the thread is interrupted
	 */
	JobResult submit(DemoJob job, ObjectNode request, int entry) throws InterruptedException {
		String id = request.path("id").asText();
		long deadline = this.clock.millis() + TIMEOUT_MILLIS;
		String lastFailure = "";
		int submissions = 0;
		while (this.clock.millis() < deadline) {
			submissions++;
			long retryDelay = MIN_RETRY_DELAY_MILLIS;
			try {
				HttpReply reply = send("POST", "/v1/jobs?waitMs=" + LONG_POLL_MILLIS, job.owner(),
						entry + submissions - 1, request.toString());
				JobResult result = JobResult.ofReply(job, id, this.client.parse(reply), submissions);
				if (result.isFinal()) {
					return result;
				}
				lastFailure = result.outcome() + " " + result.code() + " " + result.reason();
				if (reply.status() == BAD_REQUEST || reply.status() == UNAUTHORIZED) {
					break;
				}
				retryDelay = Math.max(retryDelay, result.reply().path("retryAfterMs").asLong());
			}
			catch (HttpCallException ex) {
				lastFailure = ex.getMessage();
			}
			pause(Math.min(retryDelay, 1000));
		}
		return JobResult.withoutOutcome(job, id, lastFailure, submissions);
	}

	private HttpReply send(String method, String target, String owner, int entry, String body)
			throws HttpCallException {
		String name = this.entries.get(entry % this.entries.size());
		return this.client.call(new HttpRequest(method, this.client.addressOf(name).resolve(target), body)
			.withHeader("Authorization", "Bearer " + this.keys.get(owner)), Duration.ofMillis(2 * LONG_POLL_MILLIS));
	}

	static void pause(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

}
