package io.coriandermux.bench.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The schedulers of the entries and the slot allocators of the guards, connected by
 * delayed messages. With one entry and no delay it is the central queue.
 */
final class DispatcherPolicy implements Policy {

	private final boolean central;

	/**
	 * Creates the policy.
	 * @param central whether one entry accepts all jobs and messages have no delay
	 */
	DispatcherPolicy(boolean central) {
		this.central = central;
	}

	@Override
	public SimulationResult run(ArrivalPlan plan, Fleet fleet) {
		VirtualTime time = new VirtualTime();
		Network network = new Network(time, fleet, plan, this.central);
		List<SimulatedGuard> guards = new ArrayList<>();
		for (int i = 0; i < fleet.speeds().length; i++) {
			guards.add(new SimulatedGuard(i, network));
		}
		int count = this.central ? 1 : fleet.entryWeights().length;
		List<SimulatedEntry> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(new SimulatedEntry(i, network));
		}
		network.connect(entries, guards);
		for (JobArrival job : plan.jobs()) {
			time.scheduleAt(job.arrivalNanos(), () -> entries.get(job.entry() % count).submit(job));
		}
		time.run();
		return network.result();
	}

}
