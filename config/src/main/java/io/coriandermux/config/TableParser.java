package io.coriandermux.config;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;
import io.coriandermux.core.table.Tables;

/**
 * Parses the documents of a configuration and validates them together.
 */
public final class TableParser {

	/** Largest size of a document in bytes; the store accepts no larger value. */
	public static final int MAX_DOCUMENT_BYTES = 1_000_000;

	/** Largest number of routes or pools in a document. */
	public static final int MAX_ITEMS = 1000;

	/** Largest number of endpoint patterns of a pool. */
	public static final int MAX_ENDPOINTS = 10_000;

	/** Longest path prefix of a route in characters. */
	public static final int MAX_PATH_CHARACTERS = 256;

	/** Longest timeout of a task and longest queueing time in milliseconds. */
	public static final long MAX_TIMEOUT_MILLIS = 3_600_000;

	/** Largest weight, quota and number of slots for short tasks. */
	public static final int MAX_COUNT = 1_000_000;

	/**
	 * Longest predicted queueing time that admission accepts, in milliseconds, for pools
	 * that do not set it.
	 */
	public static final long DEFAULT_MAX_QUEUE_MILLIS = 30_000;

	private static final Set<String> ROUTES_FIELDS = Set.of("owner", "editId", "editor", "editedAt", "routes", "audit");

	private static final Set<String> POOLS_FIELDS = Set.of("owner", "editId", "editor", "editedAt", "pools", "audit");

	private static final Set<String> ROUTE_FIELDS = Set.of("name", "path", "pool", "timeoutMs");

	private static final Set<String> POOL_FIELDS = Set.of("name", "endpoints", "owners", "shortSlots", "maxQueueMs");

	private static final Set<String> AUDIT_FIELDS = Set.of("editId", "editor", "editedAt", "fromRevision", "toRevision",
			"difference");

	private static final Set<String> SHARE_FIELDS = Set.of("owner", "weight", "maxInFlight");

	/**
	 * Parses and validates the documents.
	 * @param revision the revision of the snapshot
	 * @param documents all documents under {@link ConfigKeys#PREFIX}
	 * @return the tables
	 * @throws InvalidTablesException if a document breaks a rule
	 */
	public Tables parse(Revision revision, List<ConfigDocument> documents) throws InvalidTablesException {
		List<TableError> errors = new ArrayList<>();
		Map<PoolName, Pool> pools = new LinkedHashMap<>();
		for (ConfigDocument document : documents) {
			if (document.key().startsWith(ConfigKeys.POOLS_PREFIX)) {
				readPools(document, pools, errors);
			}
			else if (!document.key().startsWith(ConfigKeys.ROUTES_PREFIX)) {
				errors.add(new TableError(document.key(), "", TableRule.UNKNOWN_KEY,
						"the key is not that of a routes or pools document"));
			}
		}
		List<Route> routes = new ArrayList<>();
		for (ConfigDocument document : documents) {
			if (document.key().startsWith(ConfigKeys.ROUTES_PREFIX)) {
				readRoutes(document, pools, routes, errors);
			}
		}
		if (!errors.isEmpty()) {
			throw new InvalidTablesException(errors);
		}
		return new Tables(revision, List.copyOf(routes), pools);
	}

	private void readPools(ConfigDocument document, Map<PoolName, Pool> pools, List<TableError> errors) {
		DocumentReader reader = new DocumentReader(document.key());
		readRoot(document, ConfigKeys.POOLS_PREFIX, POOLS_FIELDS, reader).ifPresent((root) -> {
			List<JsonNode> items = reader.readObjects(root, "", "pools", MAX_ITEMS);
			for (int i = 0; i < items.size(); i++) {
				String pointer = "/pools/" + i;
				readPool(items.get(i), pointer, reader).ifPresent((pool) -> {
					if (pools.putIfAbsent(pool.name(), pool) != null) {
						reader.addError(pointer + "/name", TableRule.DUPLICATE_NAME,
								"the pool " + pool.name() + " exists already");
					}
				});
			}
		});
		errors.addAll(reader.errors());
	}

	private Optional<Pool> readPool(JsonNode node, String pointer, DocumentReader reader) {
		reader.checkFieldNames(node, pointer, POOL_FIELDS);
		Optional<String> name = reader.readName(node, pointer, "name");
		List<String> endpoints = readEndpoints(node, pointer, reader);
		Map<OwnerId, OwnerShare> shares = readShares(node, pointer, reader);
		OptionalLong shortSlots = node.has("shortSlots") ? reader.readNumber(node, pointer, "shortSlots", 0, MAX_COUNT)
				: OptionalLong.of(0);
		OptionalLong maxQueue = node.has("maxQueueMs")
				? reader.readNumber(node, pointer, "maxQueueMs", 0, MAX_TIMEOUT_MILLIS)
				: OptionalLong.of(DEFAULT_MAX_QUEUE_MILLIS);
		if (name.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(new Pool(new PoolName(name.get()), endpoints, shares, (int) shortSlots.orElse(0), maxQueue.orElse(0)));
	}

	private List<String> readEndpoints(JsonNode node, String pointer, DocumentReader reader) {
		List<String> patterns = new ArrayList<>();
		List<JsonNode> items = reader.readItems(node, pointer, "endpoints", MAX_ENDPOINTS);
		for (int i = 0; i < items.size(); i++) {
			String itemPointer = pointer + "/endpoints/" + i;
			String pattern = items.get(i).asText();
			String name = pattern.endsWith("*") ? pattern.substring(0, pattern.length() - 1) : pattern;
			if (!items.get(i).isTextual()) {
				reader.addError(itemPointer, TableRule.WRONG_TYPE, "the item is not a string");
			}
			else if (!ConfigKeys.isValidName(name) && !pattern.equals("*")) {
				reader.addError(itemPointer, TableRule.OUT_OF_RANGE,
						"an endpoint is a name, or a prefix that ends in *");
			}
			else if (patterns.contains(pattern)) {
				reader.addError(itemPointer, TableRule.DUPLICATE_NAME, "the endpoint " + pattern + " occurs twice");
			}
			else {
				patterns.add(pattern);
			}
		}
		return List.copyOf(patterns);
	}

	private Map<OwnerId, OwnerShare> readShares(JsonNode node, String pointer, DocumentReader reader) {
		Map<OwnerId, OwnerShare> shares = new LinkedHashMap<>();
		List<JsonNode> items = reader.readObjects(node, pointer, "owners", MAX_ITEMS);
		for (int i = 0; i < items.size(); i++) {
			String itemPointer = pointer + "/owners/" + i;
			JsonNode item = items.get(i);
			reader.checkFieldNames(item, itemPointer, SHARE_FIELDS);
			Optional<String> owner = reader.readName(item, itemPointer, "owner");
			OptionalLong weight = reader.readNumber(item, itemPointer, "weight", 1, MAX_COUNT);
			OptionalLong quota = reader.readNumber(item, itemPointer, "maxInFlight", 1, MAX_COUNT);
			if (owner.isEmpty() || weight.isEmpty() || quota.isEmpty()) {
				continue;
			}
			OwnerShare share = new OwnerShare((int) weight.getAsLong(), (int) quota.getAsLong());
			if (shares.putIfAbsent(new OwnerId(owner.get()), share) != null) {
				reader.addError(itemPointer + "/owner", TableRule.DUPLICATE_NAME,
						"the owner " + owner.get() + " occurs twice in the pool");
			}
		}
		return shares;
	}

	private void readRoutes(ConfigDocument document, Map<PoolName, Pool> pools, List<Route> routes,
			List<TableError> errors) {
		DocumentReader reader = new DocumentReader(document.key());
		readRoot(document, ConfigKeys.ROUTES_PREFIX, ROUTES_FIELDS, reader).ifPresent((root) -> {
			OwnerId owner = new OwnerId(document.key().substring(ConfigKeys.ROUTES_PREFIX.length()));
			Set<String> names = new HashSet<>();
			Set<String> paths = new HashSet<>();
			List<JsonNode> items = reader.readObjects(root, "", "routes", MAX_ITEMS);
			for (int i = 0; i < items.size(); i++) {
				String pointer = "/routes/" + i;
				readRoute(owner, items.get(i), pointer, pools, reader).ifPresent((route) -> {
					if (!names.add(route.name().value())) {
						reader.addError(pointer + "/name", TableRule.DUPLICATE_NAME,
								"the route " + route.name() + " exists already");
					}
					if (!paths.add(route.path())) {
						reader.addError(pointer + "/path", TableRule.DUPLICATE_NAME,
								"the path " + route.path() + " has a route already");
					}
					routes.add(route);
				});
			}
		});
		errors.addAll(reader.errors());
	}

	private Optional<Route> readRoute(OwnerId owner, JsonNode node, String pointer, Map<PoolName, Pool> pools,
			DocumentReader reader) {
		reader.checkFieldNames(node, pointer, ROUTE_FIELDS);
		Optional<String> name = reader.readName(node, pointer, "name");
		Optional<String> path = reader.readText(node, pointer, "path");
		Optional<String> pool = reader.readName(node, pointer, "pool");
		OptionalLong timeout = reader.readNumber(node, pointer, "timeoutMs", 1, MAX_TIMEOUT_MILLIS);
		if (path.isPresent() && (!path.get().startsWith("/") || path.get().length() > MAX_PATH_CHARACTERS)) {
			reader.addError(pointer + "/path", TableRule.OUT_OF_RANGE,
					"a path begins with / and has at most " + MAX_PATH_CHARACTERS + " characters");
			return Optional.empty();
		}
		pool.ifPresent(
				(value) -> checkPoolAccess(owner, pools.get(new PoolName(value)), value, pointer + "/pool", reader));
		if (name.isEmpty() || path.isEmpty() || pool.isEmpty() || timeout.isEmpty()) {
			return Optional.empty();
		}
		return Optional
			.of(new Route(owner, new RouteName(name.get()), path.get(), new PoolName(pool.get()), timeout.getAsLong()));
	}

	private static void checkPoolAccess(OwnerId owner, Pool pool, String name, String pointer, DocumentReader reader) {
		if (pool == null) {
			reader.addError(pointer, TableRule.UNKNOWN_POOL, "there is no pool " + name);
		}
		else if (!pool.shares().containsKey(owner)) {
			reader.addError(pointer, TableRule.POOL_NOT_OPEN,
					"the pool " + name + " is not open to the owner " + owner);
		}
	}

	private static void checkAudit(JsonNode root, DocumentReader reader) {
		if (!root.has("audit")) {
			return;
		}
		List<JsonNode> records = reader.readObjects(root, "", "audit", TableEditor.MAX_AUDIT_RECORDS);
		for (int i = 0; i < records.size(); i++) {
			String pointer = "/audit/" + i;
			JsonNode record = records.get(i);
			reader.checkFieldNames(record, pointer, AUDIT_FIELDS);
			for (String field : List.of("editId", "editor", "editedAt")) {
				reader.readText(record, pointer, field);
			}
			reader.readNumber(record, pointer, "fromRevision", 0, Long.MAX_VALUE);
			reader.readNumber(record, pointer, "toRevision", 0, Long.MAX_VALUE);
			reader.readObjects(record, pointer, "difference", 2 * MAX_ITEMS);
		}
	}

	private Optional<JsonNode> readRoot(ConfigDocument document, String prefix, Set<String> fields,
			DocumentReader reader) {
		if (document.json().getBytes(StandardCharsets.UTF_8).length > MAX_DOCUMENT_BYTES) {
			reader.addError("", TableRule.TOO_LARGE, "the document is larger than " + MAX_DOCUMENT_BYTES + " bytes");
			return Optional.empty();
		}
		String owner = document.key().substring(prefix.length());
		if (!ConfigKeys.isValidName(owner)) {
			reader.addError("", TableRule.UNKNOWN_KEY, "the key does not end in the name of an owner");
			return Optional.empty();
		}
		JsonNode root;
		try {
			root = JsonDocuments.parse(document.key(), document.json());
		}
		catch (InvalidTablesException ex) {
			reader.addErrors(ex.errors());
			return Optional.empty();
		}
		if (!root.isObject()) {
			reader.addError("", TableRule.MALFORMED, "the text is not a JSON object");
			return Optional.empty();
		}
		reader.checkFieldNames(root, "", fields);
		List.of("editId", "editor", "editedAt")
			.stream()
			.filter(root::has)
			.forEach((field) -> reader.readText(root, "", field));
		checkAudit(root, reader);
		Optional<String> declaredOwner = reader.readText(root, "", "owner");
		if (declaredOwner.isPresent() && !declaredOwner.get().equals(owner)) {
			reader.addError("/owner", TableRule.OTHER_OWNER, "the key is that of the owner " + owner);
		}
		return Optional.of(root);
	}

}
