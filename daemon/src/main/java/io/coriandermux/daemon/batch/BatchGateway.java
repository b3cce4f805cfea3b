package io.coriandermux.daemon.batch;

import java.util.Optional;
import java.util.function.Consumer;

import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchVerdict;
import io.coriandermux.core.dispatch.CallerRef;
import io.coriandermux.core.run.BatchId;

/**
 * Passes the requests of callers to the decision thread of an entry. Receivers are called
 * on that thread.
 */
public interface BatchGateway {

	/**
	 * Submits a batch.
	 * @param host host of the request
	 * @param path path of the request
	 * @param request the request
	 * @param receiver receives the answer
	 * @return the caller, empty if the decision thread is overloaded and the batch was
	 * not submitted
	 */
	Optional<CallerRef> submit(String host, String path, BatchRequest request, Consumer<BatchAnswer> receiver);

	/**
	 * Sets how the connections of the waiting callers are checked. Until then, callers
	 * are assumed to be connected.
	 * @param check checks the callers
	 */
	void checkCallersWith(CallerCheck check);

	/**
	 * Removes a caller that no longer waits. A batch without callers is stopped.
	 * @param caller the caller
	 */
	void onCallerDisconnected(CallerRef caller);

	/**
	 * Requests the state of a batch.
	 * @param id the batch
	 * @param receiver receives the state
	 * @return whether the request was accepted; not if the decision thread is overloaded
	 */
	boolean queryState(BatchId id, Consumer<BatchVerdict> receiver);

	/**
	 * Cancels a batch.
	 * @param id the batch
	 * @param receiver receives {@code CANCELLED}, or {@code UNKNOWN} if the batch is not
	 * in progress
	 * @return whether the request was accepted; not if the decision thread is overloaded
	 */
	boolean cancel(BatchId id, Consumer<BatchVerdict> receiver);

	/**
	 * Counts the batches of a route of which no run was sent to a guard.
	 * @param host host of the request
	 * @param path path of the request
	 * @param receiver receives the number, empty if no route matches the request
	 * @return whether the request was accepted; not if the decision thread is overloaded
	 */
	boolean countUnstarted(String host, String path, Consumer<Optional<Integer>> receiver);

	/**
	 * Checks whether a configuration is in force.
	 * @return whether one is in force
	 */
	boolean isConfigured();

	/**
	 * Checks whether this entry serves callers now.
	 * @return whether a load balancer should send it connections
	 */
	boolean isReady();

	/**
	 * Checks whether this entry is shutting down, so that callers should use other
	 * connections.
	 * @return whether it is shutting down
	 */
	boolean isDraining();

}
