package io.coriandermux.core.route;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Tables;

/**
 * Pools of the current configuration and of recently replaced ones. A task may have been
 * placed under a configuration that operators have changed since.
 */
public final class PoolHistory {

	private final long retentionNanos;

	private final ArrayDeque<ReplacedTables> replaced = new ArrayDeque<>();

	private final Map<OwnerId, List<Pool>> poolsByOwner = new LinkedHashMap<>();

	private Tables current = Tables.EMPTY;

	/**
	 * Creates the history of an entry that has not read any configuration.
	 * @param retentionNanos how long replaced configurations are kept, in nanoseconds
	 */
	public PoolHistory(long retentionNanos) {
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Replaces the current configuration.
	 * @param next the new configuration
	 * @param now the current time
	 */
	public void update(Tables next, Moment now) {
		expire(now);
		this.poolsByOwner.clear();
		this.replaced.add(new ReplacedTables(this.current, now.nanos()));
		this.current = next;
	}

	/**
	 * Removes configurations that were replaced longer ago than the retention time.
	 * @param now the current time
	 */
	public void expire(Moment now) {
		while (!this.replaced.isEmpty() && now.nanos() - this.replaced.peek().replacedNanos() > this.retentionNanos) {
			this.replaced.poll();
			this.poolsByOwner.clear();
		}
	}

	/**
	 * Returns the pools in which tasks of an owner may have been placed.
	 * @param owner the owner
	 * @return the pools, with each distinct version of a changed pool
	 */
	public List<Pool> poolsOpenTo(OwnerId owner) {
		return this.poolsByOwner.computeIfAbsent(owner, this::findPools);
	}

	private List<Pool> findPools(OwnerId owner) {
		return Stream.concat(this.replaced.stream().map(ReplacedTables::tables), Stream.of(this.current))
			.flatMap((tables) -> tables.pools().values().stream())
			.filter((pool) -> pool.shares().containsKey(owner))
			.distinct()
			.toList();
	}

	/**
	 * Checks whether tasks of an owner may have run on an endpoint.
	 * @param owner the owner
	 * @param endpoint the endpoint
	 * @return whether the endpoint belongs to a pool that the owner may use or recently
	 * could
	 */
	public boolean mayHaveRun(OwnerId owner, EndpointName endpoint) {
		return poolsOpenTo(owner).stream().anyMatch((pool) -> pool.contains(endpoint));
	}

	private record ReplacedTables(Tables tables, long replacedNanos) {

	}

}
