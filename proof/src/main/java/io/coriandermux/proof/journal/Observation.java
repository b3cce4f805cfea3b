package io.coriandermux.proof.journal;

/**
 * An event that the simulation observed at an interface of the processes under test.
 */
public sealed interface Observation
		permits RequestSent, ReplyDecided, ReplyReceived, RequestFailed, TaskStarted, TaskFinished, RevisionsReported,
		ConfigAccepted, StoreReachabilityChanged, ProcessStateChanged, JobSettled, EditSettled, FaultsEnded {

	/**
	 * Returns the time of the observation.
	 * @return simulated time in nanoseconds
	 */
	long atNanos();

}
