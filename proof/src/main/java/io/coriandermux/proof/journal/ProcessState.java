package io.coriandermux.proof.journal;

/**
 * State of a process in the simulation.
 */
public enum ProcessState {

	/** The process runs. */
	UP,
	/** The process was killed. */
	DOWN,
	/** The process is paused: it keeps its state and handles no events. */
	PAUSED,
	/** The process runs again after a pause. */
	RESUMED,
	/** A guard was requested to drain its endpoint. */
	LEAVING,
	/** An entry was requested to stop gracefully. */
	STOPPING,
	/** The process ended after a drain or a graceful stop. */
	STOPPED

}
