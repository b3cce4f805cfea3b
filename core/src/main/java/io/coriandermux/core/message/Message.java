package io.coriandermux.core.message;

/**
 * A message between two processes of the dispatcher.
 */
public sealed interface Message permits Heartbeat, Start, Answer, Refused, CancelTask, Fence, FenceAnswer, Credit,
		Recall, Release, Demand, Leaving, Forward, ForwardAnswer, ConfigPull, ConfigPush, HomesPull, HomesPush,
		StartRun, StopRun, RunEnded, HeldRuns, EndpointChanged, SessionPing, SessionPong, TablesOffer, TablesPull,
		TablesPush, HeldBatches, ReleaseBatch, ClaimBatch, ClaimAnswer, TakeOverBatch, TakeOverAnswer {

}
