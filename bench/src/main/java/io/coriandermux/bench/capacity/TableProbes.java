package io.coriandermux.bench.capacity;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.TableParser;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.core.table.Tables;

/**
 * Probes of the route and pool tables of an entry.
 */
final class TableProbes {

	private static final List<Integer> OWNER_COUNTS = List.of(30, 60, 120);

	private static final int ROUTES_PER_OWNER = 50;

	private TableProbes() {
	}

	static List<CapacityProbe> all() {
		return List.of(
				new CapacityProbe("table check processor time", "owner with 50 routes", "ns", OWNER_COUNTS,
						(size) -> CostMeter.processorNanos(() -> parse(documents(size)))),
				new CapacityProbe("table memory", "owner with 50 routes", "bytes", OWNER_COUNTS,
						(size) -> CostMeter.retainedBytes(() -> parse(documents(size)))),
				new CapacityProbe("table snapshot", "owner with 50 routes", "bytes", OWNER_COUNTS,
						(size) -> documents(size).stream().mapToDouble((document) -> document.json().length()).sum()));
	}

	private static List<ConfigDocument> documents(int owners) {
		List<ConfigDocument> documents = new ArrayList<>();
		for (int number = 0; number < owners; number++) {
			String owner = "owner-" + number;
			String header = "{\"owner\":\"" + owner
					+ "\",\"editId\":\"e\",\"editor\":\"o\",\"editedAt\":\"2026-12-04T00:00:00Z\",\"audit\":[],";
			documents.add(new ConfigDocument("/config/pools/" + owner, new Revision(1),
					header + "\"pools\":[{\"name\":\"pool-" + number
							+ "\",\"endpoints\":[\"run-*\"],\"owners\":[{\"owner\":\"" + owner
							+ "\",\"weight\":1,\"maxInFlight\":100}]}]}"));
			List<String> routes = new ArrayList<>();
			for (int route = 0; route < ROUTES_PER_OWNER; route++) {
				routes.add("{\"name\":\"route-" + route + "\",\"path\":\"/path-" + route + "\",\"pool\":\"pool-"
						+ number + "\",\"timeoutMs\":10000}");
			}
			documents.add(new ConfigDocument("/config/routes/" + owner, new Revision(1),
					header + "\"routes\":[" + String.join(",", routes) + "]}"));
		}
		return documents;
	}

	private static Tables parse(List<ConfigDocument> documents) {
		try {
			return new TableParser().parse(new Revision(1), documents);
		}
		catch (InvalidTablesException ex) {
			throw new ProbeException("tables cannot be parsed", ex);
		}
	}

}
