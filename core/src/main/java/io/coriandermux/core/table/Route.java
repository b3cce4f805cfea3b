package io.coriandermux.core.table;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;

/**
 * Maps an owner's requests with a path prefix to a pool. The longest matching prefix
 * takes precedence.
 *
 * @param owner the owner
 * @param name the name of the route
 * @param path the path prefix
 * @param pool the pool that runs the tasks
 * @param timeoutMillis time limit of a task in milliseconds
 */
public record Route(OwnerId owner, RouteName name, String path, PoolName pool, long timeoutMillis) {

}
