package io.coriandermux.core.dispatch;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against entries that all send their tasks to the same endpoints between two
 * reports of the guards. Load pattern: many entries with the same view of a large pool of
 * equal endpoints, and a burst at each entry.
 */
class EndpointPreferenceTests {

	private static final int ENTRIES = 15;

	private static final int ENDPOINTS = 80;

	private static final ResourceAmounts CAPACITY = new ResourceAmounts(64_000, 262_144, 0);

	private static final ResourceAmounts NEEDS = new ResourceAmounts(5_000, 100, 0);

	private static final PoolName POOL = new PoolName("orders");

	private static final Moment NOW = new Moment(5_000_000_000L, 5_000);

	private final Map<String, Integer> orders = new TreeMap<>();

	@Example
	void spreadsTheTasksOfSimultaneousBurstsOverTheEndpoints() {
		// All 15 entries have the same view of the pool. Together the bursts take about a
		// third of its capacity.
		for (int number = 0; number < ENTRIES; number++) {
			submitBurst("e" + number, 20);
		}
		int capacity = (int) (CAPACITY.millicores() / NEEDS.millicores());
		int surplus = this.orders.values().stream().mapToInt((count) -> Math.max(0, count - capacity)).sum();
		int sent = this.orders.values().stream().mapToInt(Integer::intValue).sum();
		assertThat(sent).isEqualTo(ENTRIES * 20);
		assertThat(surplus).isLessThan(sent / 5);
	}

	@Example
	void prefersTheSameEndpointsAfterARestart() {
		EndpointPreference first = new EndpointPreference(new EntryId("e1"));
		EndpointPreference second = new EndpointPreference(new EntryId("e1"));
		assertThat(first.applyAsDouble(new GuardId("g1"))).isEqualTo(second.applyAsDouble(new GuardId("g1")))
			.isBetween(0.0, 1.0);
	}

	@Example
	void ranksEachGuardFirstForSomeEntry() {
		Set<String> preferred = new LinkedHashSet<>();
		for (int number = 0; number < 400; number++) {
			EndpointPreference preference = new EndpointPreference(new EntryId("frontend-" + number));
			preferred.add(List.of("side-a-1", "side-a-2", "side-b-1", "side-b-2")
				.stream()
				.min((left, right) -> Double.compare(preference.applyAsDouble(new GuardId(left)),
						preference.applyAsDouble(new GuardId(right))))
				.orElseThrow());
		}
		assertThat(preferred).hasSize(4);
	}

	private void submitBurst(String name, int tasks) {
		BatchDispatcher dispatcher = new BatchDispatcher(DispatcherFixture.incarnationOf(name),
				DispatchSettings.defaults(), 1.5, new DispatchChannels((caller, answer) -> {
				}, (guard, message) -> {
					if (message instanceof StartRun) {
						this.orders.merge(guard.value(), 1, Integer::sum);
					}
				}, (entry, message) -> {
				}, (notice) -> {
				}), NOW);
		dispatcher.applyRoutes(new BatchRouteTable(1,
				List.of(new BatchRoute(new RouteName("checks"), "host", "/q/", POOL, 0, 2, 1.6, 60))));
		for (int number = 0; number < ENDPOINTS; number++) {
			GuardId guard = new GuardId("g" + number);
			dispatcher.onGuardConnected(guard, DispatcherFixture.INCARNATION);
			dispatcher.onMessage(guard, DispatcherFixture.INCARNATION,
					new EndpointChanged(new EndpointLoad(POOL, Set.of(), CAPACITY, CAPACITY, true), 0), NOW);
		}
		dispatcher.submit(new CallerRef(1), "host", "/q/b", new BatchRequest(new BatchId(name), "spec",
				new TaskGroup(tasks, NEEDS, 80, "", "", 0), 1_500, Optional.empty()), NOW);
	}

}
