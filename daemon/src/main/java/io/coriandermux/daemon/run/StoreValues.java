package io.coriandermux.daemon.run;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.ConfigKeys;
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
import io.coriandermux.wire.InvalidAddressException;
import io.coriandermux.wire.PeerAddress;

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

	private static final int MAX_PORT = 65_535;

	private static final int MAX_NAME_CHARACTERS = 128;

	/** Limits of the settings, from which guards announce their endpoints. */
	private static final int MAX_SLOTS = 1024;

	private static final int MAX_RESOURCE_AMOUNT = 100_000_000;

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
		ObjectNode node = JsonInput.mapper().createObjectNode();
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
			PeerAddress address = address(node);
			return new EntryInfo(new EntryId(id(entry, ENTRIES)), incarnation(node), address.host(), address.port(),
					new ZoneName(text(node, "zone")));
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
			PeerAddress address = address(node);
			return new GuardInfo(new GuardId(id(entry, GUARDS)), incarnation(node), address.host(), address.port(),
					new ZoneName(text(node, "zone")), new RackName(text(node, "rack")),
					new EndpointName(text(node, "endpoint")), (int) JsonInput.number(node, "slots", 0, MAX_SLOTS),
					new Resources(amount(capacity, "cores"), amount(capacity, "memoryMb"),
							amount(capacity, "accelerators")));
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
					throw new IllegalArgumentException(
							"home index " + JsonInput.quote(index.toString()) + " refers to no member");
				}
				homes.add(index.intValue());
			}
			List<Long> epochs = new ArrayList<>();
			for (JsonNode epoch : node.path("epochs")) {
				if (!epoch.isIntegralNumber() || !epoch.canConvertToLong() || epoch.longValue() < 0
						|| epoch.longValue() > JsonInput.MAX_INTEGER) {
					throw new IllegalArgumentException(
							"epoch " + JsonInput.quote(epoch.toString()) + " is out of range");
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
		return JsonInput.mapper()
			.createObjectNode()
			.put("address", address)
			.put("port", port)
			.put("zone", zone.value())
			.put("incarnation", incarnation.value());
	}

	private static JsonNode parse(KvEntry entry) throws MalformedValueException {
		return JsonInput.parseObject(entry.value());
	}

	private static String id(KvEntry entry, String prefix) throws MalformedValueException {
		String id = entry.key().startsWith(prefix) ? entry.key().substring(prefix.length()) : "";
		if (!ConfigKeys.isValidName(id)) {
			throw new MalformedValueException("the key does not name a process");
		}
		return id;
	}

	private static PeerAddress address(JsonNode node) throws MalformedValueException {
		PeerAddress address = new PeerAddress(text(node, "address"), (int) JsonInput.number(node, "port", 1, MAX_PORT));
		try {
			address.toSocketAddress();
		}
		catch (InvalidAddressException ex) {
			throw new MalformedValueException(ex.getMessage());
		}
		return address;
	}

	private static Incarnation incarnation(JsonNode node) throws MalformedValueException {
		return new Incarnation(JsonInput.number(node, "incarnation", 0, JsonInput.MAX_INTEGER));
	}

	private static String text(JsonNode node, String field) throws MalformedValueException {
		return JsonInput.text(node, field, MAX_NAME_CHARACTERS);
	}

	private static int amount(JsonNode node, String field) throws MalformedValueException {
		return (int) JsonInput.number(node, field, 0, MAX_RESOURCE_AMOUNT);
	}

}
