package io.coriandermux.proof.journal;

/**
 * An event that the simulation observed at an interface of the processes under test.
 */
public sealed interface Observation permits Asked, Decided, Replied, CallBroken, TaskStarted, TaskFinished,
		RevisionsHeld, ConfigAccepted, StoreReachable, ProcessChanged, JobSettled, EditSettled, FaultsEnded {

	/**
	 * Returns the time of the observation.
	 * @return simulated time in nanoseconds
	 */
	long atNanos();

}
