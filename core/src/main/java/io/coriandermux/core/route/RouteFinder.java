package io.coriandermux.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.table.Route;
import io.coriandermux.core.table.Tables;

/**
 * Finds the route of a task, which is the owner's route with the longest matching path
 * prefix.
 */
public final class RouteFinder {

	private final Map<OwnerId, List<Route>> routes;

	/**
	 * Creates a finder for the routes of a configuration.
	 * @param tables the configuration
	 */
	public RouteFinder(Tables tables) {
		this.routes = tables.routes()
			.stream()
			.sorted(Comparator.comparingInt((Route route) -> -route.path().length()))
			.collect(Collectors.groupingBy(Route::owner));
	}

	/**
	 * Finds the route for a request path.
	 * @param owner the owner
	 * @param path request path at the endpoint
	 * @return the route, or empty if no prefix matches
	 */
	public Optional<Route> find(OwnerId owner, String path) {
		return this.routes.getOrDefault(owner, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.path()))
			.findFirst();
	}

}
