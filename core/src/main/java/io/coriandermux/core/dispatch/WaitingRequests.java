package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Predicate;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.run.BatchId;

/**
 * Requests that wait until the runs of an earlier request for the same batch have ended,
 * at this entry or at another one.
 */
final class WaitingRequests {

	private final Map<BatchId, Waiting> byBatch = new LinkedHashMap<>();

	boolean isEmpty() {
		return this.byBatch.isEmpty();
	}

	boolean contains(BatchId id) {
		return this.byBatch.containsKey(id);
	}

	/**
	 * Adds a request.
	 * @param request the request
	 * @param holders the entries whose runs of the batch it waits for
	 */
	void add(CallerRequest request, Collection<EntryIncarnation> holders) {
		Waiting waiting = this.byBatch.computeIfAbsent(request.id(), (id) -> new Waiting());
		waiting.requests.add(request);
		waiting.holders.addAll(holders);
	}

	/**
	 * Records the claim under which another entry has a batch.
	 * @param id the batch, for which a request waits
	 * @param claim the claim
	 */
	void recordClaim(BatchId id, BatchClaim claim) {
		this.byBatch.get(id).claim = Optional.of(claim);
	}

	/**
	 * Records that an entry has released a batch.
	 * @param holder the entry
	 * @param id the batch
	 */
	void onReleased(EntryIncarnation holder, BatchId id) {
		Waiting waiting = this.byBatch.get(id);
		if (waiting != null) {
			waiting.released = waiting.claim.filter((claim) -> claim.entry().equals(holder));
		}
	}

	/**
	 * Returns the batches that wait for an entry.
	 * @param holder the entry
	 * @return the batches
	 */
	List<BatchId> waitingFor(EntryIncarnation holder) {
		return this.byBatch.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().holders.contains(holder))
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Returns the time at which the first request for each batch was sent at the
	 * earliest.
	 * @return the times on the monotonic clock
	 */
	Map<BatchId, Long> sentNanos() {
		Map<BatchId, Long> times = new LinkedHashMap<>();
		this.byBatch.forEach((id, waiting) -> times.put(id, waiting.requests.get(0).sentNanos()));
		return times;
	}

	/**
	 * Removes the requests that wait for nothing any more.
	 * @param heldHere returns whether this entry has runs of a batch
	 * @param heldElsewhere returns whether another entry may have runs of a batch
	 * @return the removed requests, as they are served now
	 */
	List<CallerRequest> removeReady(Predicate<BatchId> heldHere, BiPredicate<EntryIncarnation, BatchId> heldElsewhere) {
		List<BatchId> ready = this.byBatch.entrySet()
			.stream()
			.filter((entry) -> !heldHere.test(entry.getKey()))
			.filter((entry) -> entry.getValue().holders.stream()
				.noneMatch((holder) -> heldElsewhere.test(holder, entry.getKey())))
			.map(Map.Entry::getKey)
			.toList();
		List<CallerRequest> requests = new ArrayList<>();
		ready.forEach((id) -> {
			Waiting waiting = this.byBatch.remove(id);
			waiting.requests.forEach((request) -> requests.add(request.afterEarlierRuns(waiting.released)));
		});
		return requests;
	}

	/**
	 * Removes the requests for a batch.
	 * @param id the batch
	 * @return the removed requests
	 */
	List<CallerRequest> removeAll(BatchId id) {
		Waiting waiting = this.byBatch.remove(id);
		return (waiting != null) ? waiting.requests : List.of();
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
	 * Removes the requests that meet a condition.
	 * @param condition the condition
	 * @return the removed requests
	 */
	List<CallerRequest> removeIf(Predicate<CallerRequest> condition) {
		List<CallerRequest> removed = new ArrayList<>();
		this.byBatch.values().forEach((waiting) -> waiting.requests.removeIf((request) -> {
			if (condition.test(request)) {
				removed.add(request);
				return true;
			}
			return false;
		}));
		this.byBatch.values().removeIf((waiting) -> waiting.requests.isEmpty());
		return removed;
	}

	private static final class Waiting {

		private final List<CallerRequest> requests = new ArrayList<>();

		private final Set<EntryIncarnation> holders = new LinkedHashSet<>();

		private Optional<BatchClaim> claim = Optional.empty();

		private Optional<BatchClaim> released = Optional.empty();

	}

}
