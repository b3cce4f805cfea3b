package io.coriandermux.core.table;

import java.util.List;
import java.util.Map;

import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;

/**
 * A named set of endpoints and the owners that may use it.
 *
 * @param name the name
 * @param endpoints endpoint names, or prefixes that end in {@code *}
 * @param shares weights and quotas of the owners that may use the pool
 * @param shortSlots slots of each endpoint that are reserved for tasks predicted to be
 * short
 * @param maxQueueMillis maximum predicted queueing time at admission, in milliseconds
 */
public record Pool(PoolName name, List<String> endpoints, Map<OwnerId, OwnerShare> shares, int shortSlots,
		long maxQueueMillis) {

	/**
	 * Checks whether an endpoint belongs to this pool.
	 * @param endpoint the endpoint
	 * @return whether a name or prefix of the pool matches the endpoint's name
	 */
	public boolean contains(EndpointName endpoint) {
		return this.endpoints.stream().anyMatch((pattern) -> matches(pattern, endpoint.value()));
	}

	private static boolean matches(String pattern, String name) {
		if (pattern.endsWith("*")) {
			return name.startsWith(pattern.substring(0, pattern.length() - 1));
		}
		return pattern.equals(name);
	}

}
