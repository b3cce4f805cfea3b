package io.coriandermux.daemon.batch;

import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.store.KvEntry;
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
	 * entries that have announced it. 1: all types up to the exchange of the
	 * configuration, and the value of announcements without this field. 2: the hand-over
	 * of batches.
	 */
	static final int PROTOCOL = 2;

	private static final String PROTOCOL_FIELD = "protocol";

	private static final String ENDPOINT = "endpoint";

	private static final ObjectMapper JSON = new ObjectMapper();

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
		String key = PREFIX + member.name().role().name().toLowerCase(Locale.ROOT) + "/" + member.name().id();
		ObjectNode node = JSON.createObjectNode()
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
	 * @return the report, empty if the announcement has none
	 * @throws MalformedValueException if the value is malformed
	 */
	static Optional<EndpointReport> readReport(String value) throws MalformedValueException {
		try {
			JsonNode node = JSON.readTree(value).path(ENDPOINT);
			if (!node.isObject()) {
				return Optional.empty();
			}
			Set<String> labels = new LinkedHashSet<>();
			node.path("labels").forEach((label) -> labels.add(label.asText()));
			ResourceAmounts capacity = new ResourceAmounts(node.path("millicores").asLong(),
					node.path("memoryMb").asLong(), node.path("accelerators").asLong());
			return Optional.of(new EndpointReport(
					new EndpointIncarnation(node.path("id").asText(), node.path("born").asLong()),
					node.path("sequence").asLong(), new PoolName(node.path("pool").asText()), labels, capacity, false));
		}
		catch (JsonProcessingException ex) {
			throw new MalformedValueException("not JSON: " + ex.getOriginalMessage());
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedValueException(ENDPOINT + ": " + ex.getMessage());
		}
	}

	static Member readMember(KvEntry entry) throws MalformedValueException {
		String[] parts = entry.key().substring(PREFIX.length()).split("/", 2);
		try {
			JsonNode node = JSON.readTree(entry.value());
			JsonNode port = node.path("port");
			JsonNode incarnation = node.path("incarnation");
			if (parts.length != 2 || !node.path("address").isTextual() || !port.isInt()
					|| !incarnation.canConvertToLong()) {
				throw new MalformedValueException(entry.key() + ": not a valid announcement");
			}
			PeerRole role = PeerRole.valueOf(parts[0].toUpperCase(Locale.ROOT));
			return new Member(new PeerName(role, parts[1]), new Incarnation(incarnation.longValue()),
					new PeerAddress(node.path("address").textValue(), port.intValue()),
					node.path(PROTOCOL_FIELD).asInt(1));
		}
		catch (JsonProcessingException ex) {
			throw new MalformedValueException(entry.key() + ": not JSON: " + ex.getOriginalMessage());
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedValueException(entry.key() + ": unknown process role");
		}
	}

}
