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
import io.coriandermux.http.HttpReply;
import io.coriandermux.http.HttpRequest;
import io.coriandermux.http.UndertowHttpClient;

/**
 * HTTP client of the platform's key-value store. A call blocks up to the timeout at each
 * store URL; the URL that answered last is tried first. If a URL does not answer, a read
 * is retried at the next URL. A write is retried only if it was certainly not sent.
 */
public final class StoreClient implements Store {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int FIRST_SERVER_ERROR = 500;

	private final List<URI> urls;

	private final Duration timeout;

	private final UndertowHttpClient httpClient;

	private final ObjectMapper json = new ObjectMapper();

	private final AtomicInteger preferredUrlIndex = new AtomicInteger();

	/**
	 * Creates a client.
	 * @param urls the URLs of the store processes, at least one
	 * @param timeout timeout of a call to one store process
	 * @throws StoreUnavailableException if the HTTP client cannot be started
	 */
	public StoreClient(List<URI> urls, Duration timeout) throws StoreUnavailableException {
		if (urls.isEmpty()) {
			throw new IllegalArgumentException("no store URL is given");
		}
		this.urls = List.copyOf(urls);
		this.timeout = timeout;
		try {
			this.httpClient = new UndertowHttpClient();
		}
		catch (HttpCallException ex) {
			throw new StoreUnavailableException(ex.getMessage(), false, ex);
		}
	}

	@Override
	public KvSnapshot readPrefix(String prefix) throws StoreException {
		return parseSnapshot(call("GET", "/v1/kv?prefix=" + encode(prefix), "", this.timeout, true));
	}

	@Override
	public long put(String key, String value, long expected, Optional<Long> lease) throws StoreException {
		String leaseParameter = lease.map((id) -> "&lease=" + id).orElse("");
		HttpReply response = call("PUT", "/v1/kv?key=" + encode(key) + "&expected=" + expected + leaseParameter, value,
				this.timeout, false);
		if (response.status() == NOT_FOUND && lease.isPresent()) {
			throw new StoreLeaseExpiredException(lease.get());
		}
		return parseWrittenRevision(key, response);
	}

	@Override
	public long delete(String key, long expected) throws StoreException {
		return parseWrittenRevision(key,
				call("DELETE", "/v1/kv?key=" + encode(key) + "&expected=" + expected, "", this.timeout, false));
	}

	@Override
	public long grantLease(long ttlMillis) throws StoreException {
		return integerField(parseSuccess(call("POST", "/v1/leases?ttlMs=" + ttlMillis, "", this.timeout, false)),
				"lease");
	}

	@Override
	public void renewLease(long lease) throws StoreException {
		HttpReply response = call("PUT", "/v1/leases/" + lease, "", this.timeout, true);
		if (response.status() == NOT_FOUND) {
			throw new StoreLeaseExpiredException(lease);
		}
		parseSuccess(response);
	}

	@Override
	public KvSnapshot watch(String prefix, KvSnapshot known, long waitMillis) throws StoreException {
		return parseSnapshot(call("GET",
				"/v1/watch?prefix=" + encode(prefix) + "&after=" + known.revision() + "&waitMs=" + waitMillis, "",
				this.timeout.plusMillis(waitMillis), true));
	}

	@Override
	public void close() {
		this.httpClient.close();
	}

	private HttpReply call(String method, String target, String body, Duration callTimeout, boolean retryable)
			throws StoreUnavailableException {
		int first = this.preferredUrlIndex.get();
		boolean possiblySent = false;
		Exception lastFailure = null;
		for (int i = 0; i < this.urls.size(); i++) {
			int index = (first + i) % this.urls.size();
			try {
				HttpReply response = this.httpClient.call(new HttpRequest(method, uri(index, target), body),
						callTimeout);
				if (response.status() < FIRST_SERVER_ERROR) {
					this.preferredUrlIndex.set(index);
					return response;
				}
				possiblySent = true;
				lastFailure = new HttpCallException("status " + response.status(), true, null);
			}
			catch (HttpCallException ex) {
				possiblySent = possiblySent || ex.isPossiblySent();
				lastFailure = ex;
			}
			if (possiblySent && !retryable) {
				break;
			}
		}
		throw new StoreUnavailableException("the store did not answer " + method + " " + target, possiblySent,
				lastFailure);
	}

	private URI uri(int index, String target) {
		String base = this.urls.get(index).toString();
		return URI.create(base.endsWith("/") ? base.substring(0, base.length() - 1) + target : base + target);
	}

	private long parseWrittenRevision(String key, HttpReply response) throws StoreException {
		if (response.status() == CONFLICT) {
			JsonNode node = parseJson(response);
			Optional<String> value = Optional.ofNullable(node.get("value"))
				.filter(JsonNode::isTextual)
				.map(JsonNode::textValue);
			throw new StoreConflictException(key, integerField(node, "revision"), value);
		}
		return integerField(parseSuccess(response), "revision");
	}

	private KvSnapshot parseSnapshot(HttpReply response) throws StoreException {
		JsonNode node = parseSuccess(response);
		List<KvEntry> entries = new ArrayList<>();
		for (JsonNode entry : node.path("entries")) {
			if (!entry.path("key").isTextual() || !entry.path("value").isTextual()) {
				throw new StoreRejectedException("the store's answer has an entry without key or value");
			}
			entries.add(new KvEntry(entry.get("key").textValue(), entry.get("value").textValue(),
					integerField(entry, "revision")));
		}
		return new KvSnapshot(integerField(node, "revision"), List.copyOf(entries));
	}

	private JsonNode parseSuccess(HttpReply response) throws StoreRejectedException {
		if (response.status() != OK) {
			throw new StoreRejectedException(
					"the store answers with status " + response.status() + ": " + response.body());
		}
		return parseJson(response);
	}

	private JsonNode parseJson(HttpReply response) throws StoreRejectedException {
		try {
			return this.json.readTree(response.body());
		}
		catch (JsonProcessingException ex) {
			throw new StoreRejectedException("the store's answer is not JSON: " + ex.getOriginalMessage());
		}
	}

	private static long integerField(JsonNode node, String field) throws StoreRejectedException {
		JsonNode value = node.path(field);
		if (!value.canConvertToLong() || !value.isIntegralNumber()) {
			throw new StoreRejectedException("the store's answer has no integer field " + field);
		}
		return value.longValue();
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8);
	}

}
