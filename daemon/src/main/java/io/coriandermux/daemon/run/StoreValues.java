package io.coriandermux.daemon.run;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.store.KvEntry;

/**
 * Encodes and decodes the JSON values that entries and guards write to the store, and
 * defines their keys.
 */
public final class StoreValues {

	/** Key of the home table. */
	public static final String HOMES = "/homes";

	/** Prefix of the announcements of entries. */
	public static final String ENTRIES = "/entries/";

	/** Prefix of the announcements of guards. */
	public static final String GUARDS = "/guards/";

	private static final ObjectMapper JSON = new ObjectMapper();

	private StoreValues() {
	}

	/**
	 * Encodes the announcement of an entry.
	 * @param entry the entry
	 * @return key and value with revision 0
	 */
	public static KvEntry encode(EntryInfo entry) {
		ObjectNode node = announcement(entry.host(), entry.port(), entry.zone(), entry.incarnation());
		return new KvEntry(ENTRIES + entry.entry(), node.toString(), 0);
	}

	/**
	 * Encodes the announcement of a guard.
	 * @param guard the guard
	 * @return key and value with revision 0
	 */
	public static KvEntry encode(GuardInfo guard) {
		ObjectNode node = announcement(guard.host(), guard.port(), guard.zone(), guard.incarnation());
		node.put("rack", guard.rack().value());
		node.put("endpoint", guard.endpoint().value());
		node.put("slots", guard.slots());
		ObjectNode capacity = node.putObject("capacity");
		capacity.put("cores", guard.capacity().cores());
		capacity.put("memoryMb", guard.capacity().memoryMb());
		capacity.put("accelerators", guard.capacity().accelerators());
		return new KvEntry(GUARDS + guard.guard(), node.toString(), 0);
	}

	/**
	 * Encodes a home table without its revision.
	 * @param homes the table
	 * @return the JSON value
	 */
	public static String encode(HomeTable homes) {
		ObjectNode node = JSON.createObjectNode();
		ArrayNode members = node.putArray("members");
		for (HomeMember member : homes.members()) {
			members.addObject().put("entry", member.entry().value()).put("incarnation", member.incarnation().value());
		}
		ArrayNode indexes = node.putArray("homes");
		homes.homes().forEach(indexes::add);
		ArrayNode epochs = node.putArray("epochs");
		homes.epochs().forEach(epochs::add);
		return node.toString();
	}

	/**
	 * Decodes the announcement of an entry.
	 * @param entry key and value
	 * @return the announcement
	 * @throws MalformedValueException if the value is malformed
	 */
	public static EntryInfo decodeEntry(KvEntry entry) throws MalformedValueException {
		JsonNode node = parse(entry);
		try {
			return new EntryInfo(new EntryId(entry.key().substring(ENTRIES.length())), incarnation(node),
					text(node, "address"), integer(node, "port"), new ZoneName(text(node, "zone")));
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedValueException(entry.key() + ": " + ex.getMessage());
		}
	}

	/**
	 * Decodes the announcement of a guard.
	 * @param entry key and value
	 * @return the announcement
	 * @throws MalformedValueException if the value is malformed
	 */
	public static GuardInfo decodeGuard(KvEntry entry) throws MalformedValueException {
		JsonNode node = parse(entry);
		try {
			JsonNode capacity = node.path("capacity");
			return new GuardInfo(new GuardId(entry.key().substring(GUARDS.length())), incarnation(node),
					text(node, "address"), integer(node, "port"), new ZoneName(text(node, "zone")),
					new RackName(text(node, "rack")), new EndpointName(text(node, "endpoint")), integer(node, "slots"),
					new Resources(integer(capacity, "cores"), integer(capacity, "memoryMb"),
							integer(capacity, "accelerators")));
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedValueException(entry.key() + ": " + ex.getMessage());
		}
	}

	/**
	 * Decodes a home table.
	 * @param entry key and value
	 * @return the table with the revision of the key
	 * @throws MalformedValueException if the value is malformed
	 */
	public static HomeTable decodeHomes(KvEntry entry) throws MalformedValueException {
		JsonNode node = parse(entry);
		try {
			List<HomeMember> members = new ArrayList<>();
			for (JsonNode member : node.path("members")) {
				members.add(new HomeMember(new EntryId(text(member, "entry")), incarnation(member)));
			}
			List<Integer> homes = new ArrayList<>();
			for (JsonNode index : node.path("homes")) {
				if (!index.isInt() || index.intValue() < -1 || index.intValue() >= members.size()) {
					throw new IllegalArgumentException("home index " + index + " refers to no member");
				}
				homes.add(index.intValue());
			}
			List<Long> epochs = new ArrayList<>();
			for (JsonNode epoch : node.path("epochs")) {
				if (!epoch.isIntegralNumber() || !epoch.canConvertToLong()) {
					throw new IllegalArgumentException("epoch " + epoch + " is not an integer");
				}
				epochs.add(epoch.longValue());
			}
			if (homes.size() != Partition.COUNT || epochs.size() != Partition.COUNT) {
				throw new IllegalArgumentException(homes.size() + " homes and " + epochs.size() + " epochs where "
						+ Partition.COUNT + " are expected");
			}
			return new HomeTable(new Revision(entry.revision()), members, homes, epochs);
		}
		catch (IllegalArgumentException ex) {
			throw new MalformedValueException(entry.key() + ": " + ex.getMessage());
		}
	}

	private static ObjectNode announcement(String address, int port, ZoneName zone, Incarnation incarnation) {
		return JSON.createObjectNode()
			.put("address", address)
			.put("port", port)
			.put("zone", zone.value())
			.put("incarnation", incarnation.value());
	}

	private static JsonNode parse(KvEntry entry) throws MalformedValueException {
		try {
			return JSON.readTree(entry.value());
		}
		catch (JsonProcessingException ex) {
			throw new MalformedValueException(entry.key() + ": not JSON: " + ex.getOriginalMessage());
		}
	}

	private static Incarnation incarnation(JsonNode node) {
		JsonNode value = node.path("incarnation");
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw new IllegalArgumentException("incarnation is not an integer");
		}
		return new Incarnation(value.longValue());
	}

	private static String text(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isTextual()) {
			throw new IllegalArgumentException(field + " is not a string");
		}
		return value.textValue();
	}

	private static int integer(JsonNode node, String field) {
		JsonNode value = node.path(field);
		if (!value.isInt() || value.intValue() < 0) {
			throw new IllegalArgumentException(field + " is not a non-negative integer");
		}
		return value.intValue();
	}

}
