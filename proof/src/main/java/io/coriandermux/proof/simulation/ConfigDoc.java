package io.coriandermux.proof.simulation;

import java.util.List;

import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;

/**
 * The configuration document of one owner in the store, with the ids of its edits.
 *
 * @param routes the owner's routes
 * @param pools the owner's pools
 * @param edits ids of the edits, oldest first
 */
record ConfigDoc(List<Route> routes, List<Pool> pools, List<String> edits) {

}
