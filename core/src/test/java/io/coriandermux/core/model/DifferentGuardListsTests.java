package io.coriandermux.core.model;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.coriandermux.core.id.GuardId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two runs of a task by two entries that select different guards as the
 * keepers of its batch (issue 43): their lists of guards differ, or the list has changed
 * since the first one claimed the batch.
 */
class DifferentGuardListsTests {

	private static final int GUARDS = 5;

	private static final int BATCHES = 12;

	private static final int RETURN_BATCHES = 20;

	private static final long RUN_MILLIS = 1_000;

	/** Time after which an entry forgets a guard that is neither listed nor connected. */
	private static final long FORGET_MILLIS = 18_000;

	private static final long FAR_MILLIS = 1_000_000;

	// Guards against two entries that are granted a batch at the same time by majorities
	// without a common guard, each before the answer of the keeper that knows the other
	// one.
	@Example
	void aBatchRunsAtOneEntryAlthoughAnotherOneDoesNotKnowAGuard() {
		for (int missing = 0; missing < GUARDS; missing++) {
			for (long delayMillis = 0; delayMillis <= 2; delayMillis++) {
				assertOneRunIfGuardsAreMissing(Set.of(missing), delayMillis);
			}
		}
	}

	// Guards against an entry that is granted a batch by two guards that another entry
	// does
	// not know, before the answer of the third one, which knows the other entry.
	@Example
	void aBatchRunsAtOneEntryAlthoughAnotherOneDoesNotKnowTwoGuards() {
		for (int missing = 0; missing < GUARDS; missing++) {
			for (long delayMillis : new long[] { 0, 1, 5, 27, 215, 511 }) {
				assertOneRunIfGuardsAreMissing(Set.of(missing, (missing + 1) % GUARDS), delayMillis);
			}
		}
	}

	// Guards against guards that are listed again after a batch was claimed: they know no
	// claim of the time in which they were away, and outnumber those that do.
	@Example
	void aBatchRunsAtOneEntryAlthoughMostGuardsAreListedAgainAfterItsClaim() {
		for (int batch = 0; batch < RETURN_BATCHES; batch++) {
			for (long delayMillis : new long[] { 27, 215 }) {
				assertOneRunIfGuardsReturn(Set.of(3, 4, 5, 6), batch, delayMillis);
			}
		}
	}

	private static void assertOneRunIfGuardsReturn(Set<Integer> away, int batch, long delayMillis) {
		ClusterModel cluster = cluster(batch, away.size() + 3);
		cluster.entries().forEach((entry) -> remove(cluster, entry, away));
		cluster.advance(FORGET_MILLIS);
		cluster.submit(cluster.entry(0), "job" + batch, RUN_MILLIS);
		cluster.advance(20);
		cluster.entries().forEach((entry) -> {
			entry.listGuards(guards(cluster, Set.of()));
			away.forEach((guard) -> cluster.link(entry, cluster.guards().get(guard)).reset(1));
		});
		cluster.advance(delayMillis);
		cluster.submit(cluster.entry(1), "job" + batch, RUN_MILLIS);
		cluster.advance(4_000);
		assertNoTaskRanTwice(cluster, away + " return, batch " + batch + " after " + delayMillis + " ms");
	}

	private static void assertOneRunIfGuardsAreMissing(Set<Integer> missing, long delayMillis) {
		for (int batch = 0; batch < BATCHES; batch++) {
			ClusterModel cluster = cluster(batch, GUARDS);
			remove(cluster, cluster.entry(1), missing);
			cluster.advance(FORGET_MILLIS);
			submitToBoth(cluster, "job" + batch, delayMillis);
			assertNoTaskRanTwice(cluster,
					"entry-1 does not know " + missing + ", batch " + batch + " after " + delayMillis + " ms");
		}
	}

	private static void submitToBoth(ClusterModel cluster, String batch, long delayMillis) {
		cluster.submit(cluster.entry(0), batch, RUN_MILLIS);
		cluster.advance(delayMillis);
		cluster.submit(cluster.entry(1), batch, RUN_MILLIS);
		cluster.advance(4_000);
	}

	private static ClusterModel cluster(int batch, int guards) {
		// Seeds that are not a multiple of 4 start with guards that know all claims.
		ClusterModel cluster = new ClusterModel(4 * batch + 1, 2, guards, 2);
		cluster.advance(1_000);
		return cluster;
	}

	private static void remove(ClusterModel cluster, ModelEntry entry, Set<Integer> missing) {
		entry.listGuards(guards(cluster, missing));
		missing.forEach((guard) -> cluster.link(entry, cluster.guards().get(guard)).reset(FAR_MILLIS));
	}

	private static Set<GuardId> guards(ClusterModel cluster, Set<Integer> missing) {
		Set<GuardId> guards = new LinkedHashSet<>();
		List<ModelGuard> all = cluster.guards();
		for (int i = 0; i < all.size(); i++) {
			if (!missing.contains(i)) {
				guards.add(all.get(i).id());
			}
		}
		return guards;
	}

	private static void assertNoTaskRanTwice(ClusterModel cluster, String sequence) {
		assertThat(cluster.violations()).as(() -> sequence + "\n" + String.join("\n", cluster.trace().lines()))
			.isEmpty();
	}

}
