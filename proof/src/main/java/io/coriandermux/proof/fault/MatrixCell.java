package io.coriandermux.proof.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.coriandermux.proof.simulation.Step;
import io.coriandermux.proof.trace.Trace;
import io.coriandermux.proof.trace.TraceEvent;

/**
 * A cell of the fault matrix: a fault that is injected when the job named {@code probe}
 * or the edit reaches a step.
 *
 * @param fault the injected fault
 * @param step the step at which it is injected
 */
public record MatrixCell(Fault fault, Step step) {

	private static final long SEED = 20_261_204;

	/** The first job is submitted after a warm-up of the processes. */
	private static final long LOAD_MILLIS = 6000;

	private static final long PROBE_MILLIS = 6050;

	private static final long EDIT_MILLIS = 6200;

	/**
	 * The longest fault lasts 10 s and starts at a step within 5 s after the probe was
	 * submitted.
	 */
	private static final long FAULTS_END_MILLIS = 22_000;

	private static final long END_MILLIS = 70_000;

	/**
	 * Returns all cells of the matrix, row by row.
	 * @return the cells
	 */
	public static List<MatrixCell> all() {
		List<MatrixCell> cells = new ArrayList<>();
		for (Fault fault : Fault.values()) {
			for (Step step : Step.values()) {
				cells.add(new MatrixCell(fault, step));
			}
		}
		return cells;
	}

	/**
	 * Builds the trace of this cell. Tasks of another owner first fill all slots of the
	 * shared pool, so that the probe is queued. The probe is submitted to an entry that
	 * is not its home and is resubmitted while it runs.
	 * @return the trace without expected outcomes
	 */
	public Trace trace() {
		List<TraceEvent> events = new ArrayList<>();
		events.add(TraceEvent.at(LOAD_MILLIS, "submit", "name=load owner=configurator tasks=12 run=300"));
		events.add(TraceEvent.at(PROBE_MILLIS, "submit",
				"name=probe owner=guild entry=away tasks=3 run=400 impatient=300"));
		events.add(TraceEvent.at(EDIT_MILLIS, "edit", "name=edit-a owner=guild quota=32"));
		events.addAll(this.fault.eventsAtStep(this.step.name().toLowerCase(Locale.ROOT), 1));
		events.add(TraceEvent.at(FAULTS_END_MILLIS, "faults-end", ""));
		return new Trace(SEED + this.fault.ordinal() * Step.values().length + this.step.ordinal(), END_MILLIS, events,
				Map.of());
	}

	/**
	 * Returns the name of the cell in tables and files.
	 * @return the label of the fault and the step in lower case
	 */
	public String label() {
		return this.fault.label() + " " + this.step.name().toLowerCase(Locale.ROOT);
	}

}
