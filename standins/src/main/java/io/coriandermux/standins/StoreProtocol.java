package io.coriandermux.standins;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.undertow.server.HttpServerExchange;

/**
 * Validates the calls of the store protocol and applies them to the state of the
 * stand-in. Not thread-safe.
 */
final class StoreProtocol {

	static final String LEASES_PATH = "/v1/leases";

	private static final int MAX_VALUE_BYTES = 1_000_000;

	private final KvState state;

	StoreProtocol(KvState state) {
		this.state = state;
	}

	KvState state() {
		return this.state;
	}

	StoreReply readPrefix(HttpServerExchange exchange) {
		Optional<String> prefix = HttpExchanges.queryParameter(exchange, "prefix");
		if (prefix.isEmpty()) {
			return StoreReply.error(HttpExchanges.BAD_REQUEST, "prefix is missing");
		}
		return snapshot(prefix.get());
	}

	StoreReply snapshot(String prefix) {
		KvSnapshot snapshot = this.state.readPrefix(prefix);
		ObjectNode node = HttpExchanges.emptyObject().put("revision", snapshot.revision());
		ArrayNode entries = node.putArray("entries");
		for (KvEntry entry : snapshot.entries()) {
			entries.addObject().put("key", entry.key()).put("value", entry.value()).put("revision", entry.revision());
		}
		return new StoreReply(HttpExchanges.OK, node);
	}

	StoreReply put(HttpServerExchange exchange, String value) {
		Optional<String> key = HttpExchanges.queryParameter(exchange, "key");
		Optional<Long> expected = HttpExchanges.numericQueryParameter(exchange, "expected");
		if (key.isEmpty() || expected.isEmpty()) {
			return StoreReply.error(HttpExchanges.BAD_REQUEST, "key or expected is missing");
		}
		if (value.getBytes(StandardCharsets.UTF_8).length > MAX_VALUE_BYTES) {
			return StoreReply.error(HttpExchanges.TOO_LARGE, "the value is longer than " + MAX_VALUE_BYTES + " bytes");
		}
		Optional<Long> lease = HttpExchanges.numericQueryParameter(exchange, "lease");
		if (lease.isPresent() && !this.state.hasLease(lease.get())) {
			return StoreReply.error(HttpExchanges.NOT_FOUND, "the lease has lapsed");
		}
		return writeReply(key.get(), this.state.put(key.get(), value, expected.get(), lease));
	}

	StoreReply delete(HttpServerExchange exchange) {
		Optional<String> key = HttpExchanges.queryParameter(exchange, "key");
		Optional<Long> expected = HttpExchanges.numericQueryParameter(exchange, "expected");
		if (key.isEmpty() || expected.isEmpty()) {
			return StoreReply.error(HttpExchanges.BAD_REQUEST, "key or expected is missing");
		}
		return writeReply(key.get(), this.state.delete(key.get(), expected.get()));
	}

	StoreReply grantLease(HttpServerExchange exchange) {
		Optional<Long> ttl = HttpExchanges.numericQueryParameter(exchange, "ttlMs").filter((millis) -> millis > 0);
		if (ttl.isEmpty()) {
			return StoreReply.error(HttpExchanges.BAD_REQUEST, "ttlMs is missing");
		}
		return new StoreReply(HttpExchanges.OK,
				HttpExchanges.emptyObject().put("lease", this.state.grantLease(ttl.get())));
	}

	StoreReply renewLease(String id) {
		if (!id.matches("[0-9]{1,18}") || !this.state.renewLease(Long.parseLong(id))) {
			return StoreReply.error(HttpExchanges.NOT_FOUND, "the lease has lapsed");
		}
		return new StoreReply(HttpExchanges.OK, HttpExchanges.emptyObject());
	}

	private StoreReply writeReply(String key, Optional<Long> revision) {
		if (revision.isPresent()) {
			return new StoreReply(HttpExchanges.OK, HttpExchanges.emptyObject().put("revision", revision.get()));
		}
		Optional<KvEntry> current = this.state.get(key);
		ObjectNode node = HttpExchanges.emptyObject().put("revision", current.map(KvEntry::revision).orElse(0L));
		current.ifPresent((entry) -> node.put("value", entry.value()));
		return new StoreReply(HttpExchanges.CONFLICT, node);
	}

}
