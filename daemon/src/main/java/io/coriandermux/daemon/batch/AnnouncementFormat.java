package io.coriandermux.daemon.batch;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.ConfigKeys;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.daemon.run.JsonInput;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.store.KvEntry;
import io.coriandermux.wire.InvalidAddressException;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * Format of the announcements in the store: their keys and JSON values.
 */
final class AnnouncementFormat {

	/** Key prefix of the announcements. */
	static final String PREFIX = "coriandermux/members/";

	/**
	 * Protocol of this build. A process closes the connection when it receives a message
	 * type that it does not know, so an entry sends messages of a later protocol only to
	 * processes that have announced it. 1: all types up to the exchange of the
	 * configuration, and the value of announcements without this field. 2: the hand-over
	 * of batches. 3: claims of batches at guards.
	 */
	static final int PROTOCOL = 3;

	private static final String PROTOCOL_FIELD = "protocol";

	private static final String ENDPOINT = "endpoint";

	private static final int MAX_PORT = 65_535;

	/** Bounds the version; a later one than that of this build is valid. */
	private static final int MAX_PROTOCOL = 1_000_000;

	/** Limits the length of the text in messages; an IP address has at most 45. */
	private static final int MAX_ADDRESS_CHARACTERS = 64;

	private AnnouncementFormat() {
	}

	/**
	 * Writes an announcement.
	 * @param member the process
	 * @param report last report of its endpoint; the next incarnation of the process
	 * restores it
	 * @return key and value
	 */
	static KvEntry write(Member member, Optional<EndpointReport> report) {
		String key = prefix(member.name().role()) + member.name().id();
		ObjectNode node = JsonInput.mapper()
			.createObjectNode()
			.put("address", member.address().host())
			.put("port", member.address().port())
			.put("incarnation", member.incarnation().value())
			.put(PROTOCOL_FIELD, member.protocol());
		report.ifPresent((value) -> write(node.putObject(ENDPOINT), value));
		return new KvEntry(key, node.toString(), 0);
	}

	private static void write(ObjectNode node, EndpointReport report) {
		node.put("id", report.incarnation().id())
			.put("born", report.incarnation().startedAtMillis())
			.put("sequence", report.sequence())
			.put("pool", report.pool().value())
			.put("millicores", report.capacity().millicores())
			.put("memoryMb", report.capacity().memoryMb())
			.put("accelerators", report.capacity().accelerators());
		ArrayNode labels = node.putArray("labels");
		report.labels().forEach(labels::add);
	}

	/**
	 * Reads the last report of the endpoint of a guard.
	 * @param value the announcement of the guard
	 * @param nowEpochMillis the current time in milliseconds since 1970
	 * @return the report, empty if the announcement has none
	 * @throws MalformedValueException if the value is malformed
	 */
	static Optional<EndpointReport> readReport(String value, long nowEpochMillis) throws MalformedValueException {
		JsonNode announcement = JsonInput.parseObject(value);
		if (!announcement.has(ENDPOINT)) {
			return Optional.empty();
		}
		JsonNode node = announcement.path(ENDPOINT);
		if (!node.path("labels").isArray()) {
			throw new MalformedValueException("labels: a list is expected");
		}
		Set<String> labels = new LinkedHashSet<>();
		for (JsonNode label : node.path("labels")) {
			if (!label.isTextual()) {
				throw new MalformedValueException("labels: texts are expected");
			}
			labels.add(label.textValue());
		}
		ResourceAmounts capacity = new ResourceAmounts(amount(node, "millicores"), amount(node, "memoryMb"),
				amount(node, "accelerators"));
		String pool = JsonInput.text(node, "pool", ReportLimits.MAX_NAME_CHARACTERS);
		if (pool.isBlank()) {
			throw new MalformedValueException("pool: the name is blank");
		}
		EndpointReport report = new EndpointReport(
				new EndpointIncarnation(JsonInput.text(node, "id", ReportLimits.MAX_NAME_CHARACTERS),
						JsonInput.number(node, "born", 0, JsonInput.MAX_INTEGER)),
				JsonInput.number(node, "sequence", 0, ReportLimits.MAX_SEQUENCE), new PoolName(pool), labels, capacity,
				false);
		ReportLimits.check(report, nowEpochMillis);
		return Optional.of(report);
	}

	private static long amount(JsonNode node, String field) throws MalformedValueException {
		return JsonInput.number(node, field, 0, ReportLimits.MAX_AMOUNT);
	}

	static Member readMember(KvEntry entry) throws MalformedValueException {
		PeerName name = readName(entry.key());
		JsonNode node = JsonInput.parseObject(entry.value());
		PeerAddress address = new PeerAddress(JsonInput.text(node, "address", MAX_ADDRESS_CHARACTERS),
				(int) JsonInput.number(node, "port", 1, MAX_PORT));
		try {
			address.toSocketAddress();
		}
		catch (InvalidAddressException ex) {
			throw new MalformedValueException(ex.getMessage());
		}
		// Announcements of the first protocol have no such field.
		int protocol = node.has(PROTOCOL_FIELD) ? (int) JsonInput.number(node, PROTOCOL_FIELD, 1, MAX_PROTOCOL) : 1;
		return new Member(name, new Incarnation(JsonInput.number(node, "incarnation", 0, JsonInput.MAX_INTEGER)),
				address, protocol);
	}

	// The name of the role is compared exactly: with other spellings a second key would
	// name the same process and replace its announcement.
	private static PeerName readName(String key) throws MalformedValueException {
		for (PeerRole role : PeerRole.values()) {
			String prefix = prefix(role);
			if (key.startsWith(prefix) && ConfigKeys.isValidName(key.substring(prefix.length()))) {
				return new PeerName(role, key.substring(prefix.length()));
			}
		}
		throw new MalformedValueException("the key does not name a process");
	}

	private static String prefix(PeerRole role) {
		return PREFIX + role.name().toLowerCase(Locale.ROOT) + "/";
	}

}
