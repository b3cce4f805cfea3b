package io.coriandermux.bench.policy;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A user's workload.
 *
 * @param name name of the user
 * @param kinds the kinds of jobs
 * @param zones number of availability zones
 * @param zoneDelayNanos one-way delay between zones in nanoseconds
 */
public record Workload(String name, List<TaskKind> kinds, int zones, long zoneDelayNanos) {

	private static final String RESOURCE = "workloads.json";

	/**
	 * Reads the workloads of the users. The workload of guild has chat and match scoring,
	 * large parallel simulations and a few long reports; that of configurator has slider
	 * drags, prices and full quotes.
	 * @return the workloads
	 * @throws IOException if the resource cannot be read
	 */
	public static List<Workload> readAll() throws IOException {
		ObjectMapper mapper = new ObjectMapper();
		try (InputStream input = Workload.class.getResourceAsStream(RESOURCE)) {
			return mapper.readValue(input, mapper.getTypeFactory().constructCollectionType(List.class, Workload.class));
		}
	}

}
