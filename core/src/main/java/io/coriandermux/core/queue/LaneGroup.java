package io.coriandermux.core.queue;

import java.util.Comparator;
import java.util.TreeSet;

import io.coriandermux.core.place.PlacementRequirements;

/**
 * The lanes of all owners whose tasks the same endpoints can run. It contains only lanes
 * that have tasks and whose owner is below its quota. The set is sorted by values that
 * change, so a lane is removed before its first task or the virtual time of its owner
 * changes, and added again afterwards.
 */
final class LaneGroup {

	static final Comparator<Lane> ORDER = Comparator.comparingDouble(Lane::orderKey)
		.thenComparing(Lane::first, WaitingTask.BY_ORDER_KEY);

	final PlacementRequirements requirements;

	private final TreeSet<Lane> ready = new TreeSet<>(ORDER);

	LaneGroup(PlacementRequirements requirements) {
		this.requirements = requirements;
	}

	void add(Lane lane) {
		this.ready.add(lane);
	}

	void remove(Lane lane) {
		this.ready.remove(lane);
	}

	Lane first() {
		return this.ready.isEmpty() ? null : this.ready.first();
	}

}
