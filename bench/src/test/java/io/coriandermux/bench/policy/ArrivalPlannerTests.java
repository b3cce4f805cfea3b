package io.coriandermux.bench.policy;

import java.io.IOException;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Guards against arrivals with less work than the requested load, or a lower peak than
 * stated.
 */
class ArrivalPlannerTests {

	private static final double NANOS_PER_SECOND = 1e9;

	@Example
	void workMatchesTheRequestedLoadAndThePeakHasThreeTimesTheMeanRate() throws IOException {
		for (Workload workload : Workload.readAll()) {
			Fleet fleet = Fleet.of(workload, 4);
			ArrivalPlan plan = new ArrivalPlanner(workload, fleet, 1).plan(7, 120, 0.85);
			double work = 0;
			double peakJobs = 0;
			for (JobArrival job : plan.jobs()) {
				work += job.tasks().stream().mapToLong(TaskArrival::workNanos).sum();
				boolean inPeak = job.arrivalNanos() >= plan.peakStartNanos()
						&& job.arrivalNanos() < plan.peakEndNanos();
				peakJobs += inPeak ? 1 : 0;
			}
			assertThat(work / (fleet.capacity() * 120 * NANOS_PER_SECOND)).isCloseTo(0.85, within(0.01));
			assertThat(peakJobs / 5 / (plan.jobs().size() / 120.0)).isCloseTo(3, within(0.3));
		}
	}

}
