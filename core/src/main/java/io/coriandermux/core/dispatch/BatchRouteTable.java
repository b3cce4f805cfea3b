package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The batch routes of one configuration version, indexed by host.
 */
public final class BatchRouteTable {

	private final long version;

	private final Map<String, List<BatchRoute>> byHost = new LinkedHashMap<>();

	private final int routeCount;

	/**
	 * Creates the table of a configuration version.
	 * @param version version of the configuration; later versions are higher
	 * @param routes the routes
	 */
	public BatchRouteTable(long version, List<BatchRoute> routes) {
		this.version = version;
		this.routeCount = routes.size();
		routes.forEach((route) -> this.byHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		this.byHost.values()
			.forEach((list) -> list
				.sort(Comparator.comparingInt((BatchRoute route) -> route.prefix().length()).reversed()));
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the number of routes.
	 * @return the number
	 */
	public int size() {
		return this.routeCount;
	}

	/**
	 * Finds the route of a request, which is the one of its host with the longest
	 * matching prefix.
	 * @param host host of the request
	 * @param path path of the request
	 * @return the route, or empty if none matches
	 */
	public Optional<BatchRoute> find(String host, String path) {
		return this.byHost.getOrDefault(host, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.prefix()))
			.findFirst();
	}

}
