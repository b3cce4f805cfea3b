package io.coriandermux.store;

import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.http.HttpCaller;
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;

/**
 * Client of the platform store. Calls block up to the time limit for each store URL; the
 * URL that answered last is tried first. A read is repeated at the next URL if one does
 * not answer. A write is repeated there only if it certainly was not sent.
 */
public final class StoreClient implements Store {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int SERVER_ERROR = 500;

	private final List<URI> urls;

	private final Duration limit;

	private final HttpCaller caller;

	private final ObjectMapper json = new ObjectMapper();

	private final AtomicInteger preferred = new AtomicInteger();

	/**
	 * Creates a client.
	 * @param urls addresses of the store processes, at least one
	 * @param limit time limit of a call at one store process
	 * @throws StoreUnavailableException if the HTTP client cannot start
	 */
	public StoreClient(List<URI> urls, Duration limit) throws StoreUnavailableException {
		if (urls.isEmpty()) {
			throw new IllegalArgumentException("no store URL is given");
		}
		this.urls = List.copyOf(urls);
		this.limit = limit;
		try {
			this.caller = new HttpCaller();
		}
		catch (HttpCallException ex) {
			throw new StoreUnavailableException(ex.getMessage(), false, ex);
		}
	}

	@Override
	public KvSnapshot readPrefix(String prefix) throws StoreException {
		return snapshot(call("GET", "/v1/kv?prefix=" + encode(prefix), "", this.limit, true));
	}

	@Override
	public long put(String key, String value, long expected, Optional<Long> lease) throws StoreException {
		String suffix = lease.map((id) -> "&lease=" + id).orElse("");
		HttpReply reply = call("PUT", "/v1/kv?key=" + encode(key) + "&expected=" + expected + suffix, value, this.limit,
				false);
		if (reply.status() == NOT_FOUND && lease.isPresent()) {
			throw new StoreLeaseLapsedException(lease.get());
		}
		return written(key, reply);
	}

	@Override
	public long delete(String key, long expected) throws StoreException {
		return written(key,
				call("DELETE", "/v1/kv?key=" + encode(key) + "&expected=" + expected, "", this.limit, false));
	}

	@Override
	public long grantLease(long ttlMillis) throws StoreException {
		return number(success(call("POST", "/v1/leases?ttlMs=" + ttlMillis, "", this.limit, false)), "lease");
	}

	@Override
	public void renewLease(long lease) throws StoreException {
		HttpReply reply = call("PUT", "/v1/leases/" + lease, "", this.limit, true);
		if (reply.status() == NOT_FOUND) {
			throw new StoreLeaseLapsedException(lease);
		}
		success(reply);
	}

	@Override
	public KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) throws StoreException {
		return snapshot(call("GET",
				"/v1/watch?prefix=" + encode(prefix) + "&after=" + known.revision() + "&waitMs=" + waitMillis, "",
				this.limit.plusMillis(waitMillis), true));
	}

	@Override
	public void close() {
		this.caller.close();
	}

	private HttpReply call(String method, String target, String body, Duration time, boolean repeatable)
			throws StoreUnavailableException {
		int first = this.preferred.get();
		boolean sent = false;
		Exception last = null;
		for (int i = 0; i < this.urls.size(); i++) {
			int index = (first + i) % this.urls.size();
			try {
				HttpReply reply = this.caller.call(new HttpRequest(method, uri(index, target), body), time);
				if (reply.status() < SERVER_ERROR) {
					this.preferred.set(index);
					return reply;
				}
				sent = true;
				last = new HttpCallException("status " + reply.status(), true, null);
			}
			catch (HttpCallException ex) {
				sent = sent || ex.sent();
				last = ex;
			}
			if (sent && !repeatable) {
				break;
			}
		}
		throw new StoreUnavailableException("the store did not answer " + method + " " + target, sent, last);
	}

	private URI uri(int index, String target) {
		String base = this.urls.get(index).toString();
		return URI.create(base.endsWith("/") ? base.substring(0, base.length() - 1) + target : base + target);
	}

	private long written(String key, HttpReply reply) throws StoreException {
		if (reply.status() == CONFLICT) {
			JsonNode node = parse(reply);
			Optional<String> value = Optional.ofNullable(node.get("value"))
				.filter(JsonNode::isTextual)
				.map(JsonNode::textValue);
			throw new StoreConflictException(key, number(node, "revision"), value);
		}
		return number(success(reply), "revision");
	}

	private KvSnapshot snapshot(HttpReply reply) throws StoreException {
		JsonNode node = success(reply);
		List<KvEntry> entries = new ArrayList<>();
		for (JsonNode entry : node.path("entries")) {
			if (!entry.path("key").isTextual() || !entry.path("value").isTextual()) {
				throw new StoreRejectedException("the store's answer has an entry without key or value");
			}
			entries.add(new KvEntry(entry.get("key").textValue(), entry.get("value").textValue(),
					number(entry, "revision")));
		}
		return new KvSnapshot(number(node, "revision"), List.copyOf(entries));
	}

	private JsonNode success(HttpReply reply) throws StoreRejectedException {
		if (reply.status() != OK) {
			throw new StoreRejectedException("the store answers with status " + reply.status() + ": " + reply.body());
		}
		return parse(reply);
	}

	private JsonNode parse(HttpReply reply) throws StoreRejectedException {
		try {
			return this.json.readTree(reply.body());
		}
		catch (JsonProcessingException ex) {
			throw new StoreRejectedException("the store's answer is not JSON: " + ex.getOriginalMessage());
		}
	}

	private static long number(JsonNode node, String field) throws StoreRejectedException {
		JsonNode value = node.path(field);
		if (!value.canConvertToLong() || !value.isIntegralNumber()) {
			throw new StoreRejectedException("the store's answer has no whole number " + field);
		}
		return value.longValue();
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
