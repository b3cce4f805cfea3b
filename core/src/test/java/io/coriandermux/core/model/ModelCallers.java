package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchVerdict;
import io.coriandermux.core.dispatch.CallerRef;
import io.coriandermux.core.dispatch.TaskGroup;
import io.coriandermux.core.run.BatchId;

/**
 * Callers, one for each batch. A caller whose connection breaks, or that receives no
 * answer or one that leaves its batch unfinished, submits its batch again under the same
 * id, to any entry.
 */
final class ModelCallers {

	private static final long RESUBMIT_MILLIS = 1_300;

	private static final long WAIT_MILLIS = 15_000;

	private final ModelClock clock;

	private final ModelTrace trace;

	private final Supplier<ModelEntry> nextEntry;

	private final Map<CallerRef, PendingBatch> pending = new LinkedHashMap<>();

	private final Map<ModelEntry, Long> heldUntilNanos = new HashMap<>();

	private long lastCaller;

	private long waitMillis = WAIT_MILLIS;

	private LongSupplier disconnectDelayMillis = () -> 0;

	private int completed;

	private int submitted;

	ModelCallers(ModelClock clock, ModelTrace trace, Supplier<ModelEntry> nextEntry) {
		this.clock = clock;
		this.trace = trace;
		this.nextEntry = nextEntry;
	}

	int submitted() {
		return this.submitted;
	}

	int completed() {
		return this.completed;
	}

	/**
	 * Sets how long callers wait for an answer. A caller that has waited that long closes
	 * its connection and submits its batch again.
	 * @param millis the time in milliseconds
	 * @param delayMillis returns the time after which the entry is told that a caller has
	 * given up, in milliseconds
	 */
	void setWait(long millis, LongSupplier delayMillis) {
		this.waitMillis = millis;
		this.disconnectDelayMillis = delayMillis;
	}

	void submit(ModelEntry entry, String id, int tasks, long runMillis) {
		this.submitted++;
		submit(entry, new BatchRequest(new BatchId(id), String.valueOf(runMillis),
				new TaskGroup(tasks, ModelEndpoint.NEEDS, runMillis, "", "", 0), this.waitMillis, Optional.empty()));
	}

	private void submit(ModelEntry entry, BatchRequest request) {
		if (!entry.isUp()) {
			resubmit(request, RESUBMIT_MILLIS);
			return;
		}
		this.lastCaller++;
		CallerRef caller = new CallerRef(this.lastCaller);
		this.trace.add("callers", "submit " + request.id().value() + " to " + entry.name());
		this.pending.put(caller, new PendingBatch(entry, request));
		deliver(entry, () -> entry.submit(caller, request));
		long submittedTo = entry.life();
		this.clock.afterMillis(request.waitMillis(), () -> giveUp(caller, entry, submittedTo));
	}

	private void giveUp(CallerRef caller, ModelEntry entry, long submittedTo) {
		PendingBatch batch = this.pending.remove(caller);
		if (batch == null) {
			return;
		}
		this.trace.add("callers", "FAULT no answer to " + batch.request().id().value() + " from " + entry.name());
		resubmit(batch.request(), RESUBMIT_MILLIS);
		this.clock.afterMillis(this.disconnectDelayMillis.getAsLong(), () -> {
			if (entry.life() == submittedTo) {
				deliver(entry, () -> entry.onCallerDisconnected(caller));
			}
		});
	}

	/**
	 * Holds the requests to an entry, and the ends of their connections, on their way.
	 * They arrive when the time is over, and nothing tells the entry how long they were
	 * held.
	 * @param entry the entry
	 * @param millis the time in milliseconds
	 */
	void holdRequests(ModelEntry entry, long millis) {
		this.trace.add("callers", "FAULT requests to " + entry.name() + " are held for " + millis + " ms");
		this.heldUntilNanos.merge(entry, this.clock.nanos() + millis * ModelClock.NANOS_PER_MILLI, Math::max);
	}

	private void deliver(ModelEntry entry, Runnable delivery) {
		long untilNanos = this.heldUntilNanos.getOrDefault(entry, 0L);
		if (this.clock.nanos() >= untilNanos) {
			delivery.run();
			return;
		}
		long sentTo = entry.life();
		this.clock.at(untilNanos, () -> {
			if (entry.life() == sentTo) {
				deliver(entry, delivery);
			}
		});
	}

	/**
	 * Returns the entry at which the caller of a batch waits.
	 * @param id the batch
	 * @return the entry, empty if the caller does not wait
	 */
	Optional<ModelEntry> entryOf(BatchId id) {
		return find(id).map(PendingBatch::entry);
	}

	/**
	 * Delivers an earlier request for a batch, which was held on its way and whose caller
	 * has left unnoticed.
	 * @param id the batch, nothing is delivered if its caller does not wait
	 * @param entry the entry that receives the request
	 */
	void deliverEarlierRequest(BatchId id, ModelEntry entry) {
		find(id).filter((batch) -> entry.isUp()).ifPresent((batch) -> {
			this.trace.add("callers", "FAULT an earlier request for " + id.value() + " reaches " + entry.name());
			this.lastCaller++;
			entry.submit(new CallerRef(this.lastCaller), batch.request());
		});
	}

	private Optional<PendingBatch> find(BatchId id) {
		return this.pending.values().stream().filter((batch) -> batch.request().id().equals(id)).findFirst();
	}

	private void resubmit(BatchRequest request, long delayMillis) {
		this.clock.afterMillis(delayMillis, () -> submit(this.nextEntry.get(), request));
	}

	/**
	 * Breaks the connections of all callers of an entry.
	 * @param entry the entry
	 */
	void reset(ModelEntry entry) {
		remove(entry).forEach((caller) -> deliver(entry, () -> entry.onCallerDisconnected(caller)));
	}

	/**
	 * Makes all callers of an entry give up without a sign that reaches the entry.
	 * @param entry the entry
	 */
	void leaveHalfOpen(ModelEntry entry) {
		remove(entry);
	}

	void onEntryKilled(ModelEntry entry) {
		remove(entry);
	}

	private List<CallerRef> remove(ModelEntry entry) {
		List<CallerRef> callers = new ArrayList<>();
		this.pending.forEach((caller, batch) -> {
			if (batch.entry() == entry) {
				callers.add(caller);
			}
		});
		for (CallerRef caller : callers) {
			BatchRequest request = this.pending.remove(caller).request();
			this.trace.add("callers",
					"FAULT connection of " + request.id().value() + " to " + entry.name() + " breaks");
			resubmit(request, RESUBMIT_MILLIS);
		}
		return callers;
	}

	void onAnswer(CallerRef caller, BatchAnswer answer) {
		PendingBatch batch = this.pending.remove(caller);
		if (batch == null) {
			return;
		}
		this.trace.add("callers", "answer to " + batch.request().id().value() + " : " + answer.verdict());
		if (answer.verdict() == BatchVerdict.COMPLETED) {
			this.completed++;
		}
		else if (answer.verdict() == BatchVerdict.UNAVAILABLE) {
			resubmit(batch.request(), answer.retryAfterMillis());
		}
		else if (answer.verdict() == BatchVerdict.UNFINISHED) {
			resubmit(batch.request(), RESUBMIT_MILLIS);
		}
	}

	private record PendingBatch(ModelEntry entry, BatchRequest request) {

	}

}
