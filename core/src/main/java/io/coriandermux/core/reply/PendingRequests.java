package io.coriandermux.core.reply;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import io.coriandermux.core.id.Moment;

/**
 * Pending requests by the key that they wait for, such as a job.
 *
 * @param <K> type of the key
 */
public final class PendingRequests<K> {

	private final Map<K, Map<Requester, PendingRequest>> byKey = new LinkedHashMap<>();

	private final Map<Requester, K> keyByRequester = new LinkedHashMap<>();

	private final PriorityQueue<Deadline> deadlines = new PriorityQueue<>(
			Comparator.comparingLong(Deadline::nanos).thenComparingLong(Deadline::sequence));

	private final ToLongFunction<PendingRequest> deadlineNanos;

	private long nextSequence;

	/**
	 * Creates an empty collection.
	 * @param deadlineNanos returns the deadline of a request, on the monotonic clock
	 */
	public PendingRequests(ToLongFunction<PendingRequest> deadlineNanos) {
		this.deadlineNanos = deadlineNanos;
	}

	/**
	 * Adds a request. It replaces an earlier request of the same requester.
	 * @param key the key that it waits for
	 * @param pending the request
	 */
	public void add(K key, PendingRequest pending) {
		remove(pending.requester());
		this.byKey.computeIfAbsent(key, (missing) -> new LinkedHashMap<>()).put(pending.requester(), pending);
		this.keyByRequester.put(pending.requester(), key);
		this.deadlines
			.add(new Deadline(pending.requester(), this.deadlineNanos.applyAsLong(pending), this.nextSequence++));
	}

	/**
	 * Removes the requests that wait for a key.
	 * @param key the key
	 * @return the requests in the order of their arrival
	 */
	public List<PendingRequest> take(K key) {
		Map<Requester, PendingRequest> taken = this.byKey.remove(key);
		if (taken == null) {
			return List.of();
		}
		taken.keySet().forEach(this.keyByRequester::remove);
		return List.copyOf(taken.values());
	}

	/**
	 * Removes the request of a requester that is no longer connected.
	 * @param requester the requester
	 * @return the request, or empty if there is none
	 */
	public Optional<PendingRequest> remove(Requester requester) {
		K key = this.keyByRequester.remove(requester);
		if (key == null) {
			return Optional.empty();
		}
		Map<Requester, PendingRequest> waiting = this.byKey.get(key);
		PendingRequest removed = waiting.remove(requester);
		if (waiting.isEmpty()) {
			this.byKey.remove(key);
		}
		return Optional.of(removed);
	}

	/**
	 * Removes the requests whose deadline has passed.
	 * @param now the current time
	 * @return the requests in the order of their deadlines
	 */
	public List<PendingRequest> expire(Moment now) {
		List<PendingRequest> expired = new ArrayList<>();
		while (!this.deadlines.isEmpty() && this.deadlines.peek().nanos() <= now.nanos()) {
			Requester requester = this.deadlines.poll().requester();
			PendingRequest pending = this.byKey.getOrDefault(this.keyByRequester.get(requester), Map.of())
				.get(requester);
			if (pending != null && this.deadlineNanos.applyAsLong(pending) <= now.nanos()) {
				remove(requester);
				expired.add(pending);
			}
		}
		return expired;
	}

	/**
	 * Returns the first request that waits for a key.
	 * @param key the key
	 * @return the request, or empty if there is none
	 */
	public Optional<PendingRequest> first(K key) {
		return this.byKey.getOrDefault(key, Map.of()).values().stream().findFirst();
	}

	/**
	 * Removes the requests of some requesters.
	 * @param isDisconnected whether a requester is no longer connected
	 */
	public void removeIf(Predicate<Requester> isDisconnected) {
		this.keyByRequester.keySet().stream().filter(isDisconnected).toList().forEach(this::remove);
	}

	/**
	 * Returns the keys that requests wait for.
	 * @return the keys
	 */
	public List<K> keys() {
		return List.copyOf(this.byKey.keySet());
	}

	/**
	 * Returns the number of requests.
	 * @return the number
	 */
	public int size() {
		return this.keyByRequester.size();
	}

	private record Deadline(Requester requester, long nanos, long sequence) {

	}

}
