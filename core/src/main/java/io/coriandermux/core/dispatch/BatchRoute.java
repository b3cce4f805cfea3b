package io.coriandermux.core.dispatch;

import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;

/**
 * Route of batches: the requests that it matches, the pool that runs them, and their
 * response time objective.
 *
 * @param name the name of the route
 * @param host host of matching requests
 * @param prefix path prefix of matching requests
 * @param pool pool whose endpoints run the tasks
 * @param priority priority among the routes, 0 is the highest
 * @param maxAttempts number of failed runs of a task after which its batch fails
 * @param slowdownFactor response time objective of a batch as a multiple of the expected
 * run time of its longest task
 * @param extraMillis constant part of the response time objective, in milliseconds
 */
public record BatchRoute(RouteName name, String host, String prefix, PoolName pool, int priority, int maxAttempts,
		double slowdownFactor, long extraMillis) {

}
