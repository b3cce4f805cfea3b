package io.coriandermux.core.table;

import java.util.List;
import java.util.Map;

import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;

/**
 * The routes and pools of one configuration revision, validated together.
 *
 * @param revision the configuration revision
 * @param routes all routes
 * @param pools all pools by name
 */
public record Tables(Revision revision, List<Route> routes, Map<PoolName, Pool> pools) {

	/** The tables of a process that has not read any configuration yet. */
	public static final Tables EMPTY = new Tables(new Revision(0), List.of(), Map.of());

}
