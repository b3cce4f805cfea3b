package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.proof.journal.EditSettled;

/**
 * An operator who edits an owner's configuration document: reads it and writes it by
 * compare-and-swap. After a conflict or a failed call it reads the document again to find
 * out whether the edit was applied.
 */
final class Operator {

	private static final int MAX_ATTEMPTS = 8;

	private static final long RETRY_NANOS = 1_000_000_000;

	private final Simulation simulation;

	private final String editId;

	private final OwnerId owner;

	private final int maxInFlight;

	private int attempts;

	Operator(Simulation simulation, String editId, OwnerId owner, int maxInFlight) {
		this.simulation = simulation;
		this.editId = editId;
		this.owner = owner;
		this.maxInFlight = maxInFlight;
	}

	void attemptEdit() {
		this.attempts++;
		if (this.attempts > MAX_ATTEMPTS) {
			recordResult("refused");
			return;
		}
		this.simulation.onStep(Step.READ, null, "", null);
		String key = FakeStore.CONFIG + this.owner.value();
		this.simulation.store()
			.call(null, false, () -> this.simulation.store().get(key), (found) -> write(key, found), this::retryLater);
	}

	private void retryLater() {
		this.simulation.clock().scheduleAfter(RETRY_NANOS, this::attemptEdit);
	}

	private void write(String key, FakeStore.Versioned found) {
		ConfigDoc doc = (ConfigDoc) found.value();
		if (doc.edits().contains(this.editId)) {
			recordResult("applied");
			return;
		}
		List<String> edits = new ArrayList<>(doc.edits());
		edits.add(this.editId);
		ConfigDoc next = new ConfigDoc(doc.routes(), doc.pools().stream().map(this::withNewShare).toList(), edits);
		this.simulation.onStep(Step.WRITE, null, "", null);
		this.simulation.store()
			.call(null, true, () -> this.simulation.store().compareAndSwap(key, found.revision(), next), (written) -> {
				if (written.revision() > 0) {
					recordResult("applied");
				}
				else {
					attemptEdit();
				}
			}, this::retryLater);
	}

	private Pool withNewShare(Pool pool) {
		return SimulatedCluster.withShare(pool, new OwnerShare(1, this.maxInFlight));
	}

	private void recordResult(String result) {
		this.simulation.recordEditResult(this.editId, result);
		this.simulation.journal().add(new EditSettled(this.simulation.clock().now(), this.editId, result));
	}

}
