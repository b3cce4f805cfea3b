package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import io.coriandermux.core.run.BatchId;

/**
 * Requests that wait until the runs of an earlier request for the same batch have ended.
 */
final class WaitingRequests {

	private final Map<BatchId, List<CallerRequest>> byBatch = new LinkedHashMap<>();

	boolean isEmpty() {
		return this.byBatch.isEmpty();
	}

	void add(CallerRequest request) {
		this.byBatch.computeIfAbsent(request.id(), (id) -> new ArrayList<>()).add(request);
	}

	/**
	 * Removes the requests for a batch.
	 * @param id the batch
	 * @return the removed requests
	 */
	List<CallerRequest> removeAll(BatchId id) {
		List<CallerRequest> requests = this.byBatch.remove(id);
		return (requests != null) ? requests : List.of();
	}

	/**
	 * Removes the requests of all batches.
	 * @return the removed requests
	 */
	List<CallerRequest> removeAll() {
		return removeIf((request) -> true);
	}

	void remove(CallerRef caller) {
		removeIf((request) -> request.caller().equals(caller));
	}

	/**
	 * Removes the requests whose callers stop waiting before a given time.
	 * @param nanos the time on the monotonic clock
	 * @return the removed requests
	 */
	List<CallerRequest> removeEndingBefore(long nanos) {
		return removeIf((request) -> request.waitEndNanos() <= nanos);
	}

	private List<CallerRequest> removeIf(Predicate<CallerRequest> condition) {
		List<CallerRequest> removed = new ArrayList<>();
		this.byBatch.values().forEach((requests) -> requests.removeIf((request) -> {
			if (condition.test(request)) {
				removed.add(request);
				return true;
			}
			return false;
		}));
		this.byBatch.values().removeIf(List::isEmpty);
		return removed;
	}

}
