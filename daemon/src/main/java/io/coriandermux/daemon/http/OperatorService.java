package io.coriandermux.daemon.http;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.MetricRegistry;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.daemon.log.RecentEvent;

/**
 * Requests that a process answers to operators.
 */
public interface OperatorService {

	/**
	 * Requests the state of the process.
	 * @param consumer receives a record that can be written as JSON, on the decision
	 * thread
	 * @return whether the request was enqueued for the decision thread
	 */
	boolean status(Consumer<Object> consumer);

	/**
	 * Requests an explanation of the state of a job.
	 * @param owner the owner
	 * @param job the job id
	 * @param consumer receives a record that can be written as JSON, or empty if this
	 * process does not know the job, on the decision thread
	 * @return whether the request was enqueued for the decision thread
	 */
	boolean explain(OwnerId owner, String job, Consumer<Optional<Object>> consumer);

	/**
	 * Requests the recent failures of an owner's jobs.
	 * @param owner the owner
	 * @param consumer receives a list that can be written as JSON, the oldest failure
	 * first, on the decision thread
	 * @return whether the request was enqueued for the decision thread
	 */
	boolean failures(OwnerId owner, Consumer<Object> consumer);

	/**
	 * Returns the recent events.
	 * @return the events, the oldest first
	 */
	List<RecentEvent> events();

	/**
	 * Returns the metrics of the process.
	 * @return the metric registry
	 */
	MetricRegistry metrics();

	/**
	 * Starts a graceful shutdown.
	 */
	void drain();

}
