package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against two runs of a task when a guard falls silent right after the start of
 * runs (issue 43). The property {@code model.silentSeeds} sets the number of seeds for
 * each combination of faults.
 */
class SilentGuardTests {

	private static final int SEEDS = Integer.getInteger("model.silentSeeds", 2);

	@Example
	void noTaskRunsTwiceWhenCallersAndEarlierRequestsReachOtherEntries() {
		assertNoTaskRunsTwice(EnumSet.of(Surroundings.CALLERS_RETURN, Surroundings.HELD_REQUEST));
	}

	@Example
	void noTaskRunsTwiceWhenOrdersAreLateWhileTheProcessesBecomeComplete() {
		assertNoTaskRunsTwice(
				EnumSet.of(Surroundings.HELD_REQUEST, Surroundings.UNANSWERED_ORDERS, Surroundings.COMPLETING));
	}

	@Example
	void noTaskRunsTwiceWhenTheProcessesAreYoung() {
		assertNoTaskRunsTwice(EnumSet.of(Surroundings.CALLERS_RETURN, Surroundings.HELD_REQUEST, Surroundings.YOUNG));
	}

	@Example
	void noTaskRunsTwiceWhenAnswersAreLateAndEntriesStandStill() {
		assertNoTaskRunsTwice(EnumSet.of(Surroundings.CALLERS_RETURN, Surroundings.HELD_REQUEST,
				Surroundings.LATE_ANSWERS, Surroundings.ENTRY_PAUSE));
	}

	private static void assertNoTaskRunsTwice(Set<Surroundings> surroundings) {
		List<String> failures = new ArrayList<>();
		long submitted = 0;
		long completed = 0;
		for (Set<GuardFault> faults : SilentGuardSurvey.COMBINATIONS) {
			long struckTasks = 0;
			for (long seed = 1; seed <= SEEDS; seed++) {
				SilentGuardPlan plan = new SilentGuardPlan(seed, faults, surroundings);
				String name = faults + " " + surroundings + ", seed " + seed + ": ";
				ClusterModel model = plan.play();
				model.violations().forEach((violation) -> failures.add(name + violation));
				model.prematureEnds().forEach((end) -> failures.add(name + end));
				struckTasks += plan.struckTasks();
				submitted += model.callers().submitted();
				completed += model.callers().completed();
			}
			// A plan that strikes no guard would hide every fault.
			assertThat(struckTasks).as(faults.toString()).isPositive();
		}
		assertThat(failures).isEmpty();
		// The load of the smallest clusters is above what they carry.
		assertThat(completed).as("batches that only look safe because nothing runs").isGreaterThan(submitted * 2 / 3);
	}

}
