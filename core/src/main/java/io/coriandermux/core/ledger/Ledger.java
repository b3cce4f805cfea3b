package io.coriandermux.core.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;

/**
 * Entries of started tasks, held in memory. An entry is written before its task starts
 * and is kept for a fixed time after the task has ended. Entries are never evicted to
 * stay within the byte limit, since a missing entry would permit a second start. Instead,
 * the bodies of ended tasks are dropped, oldest first, and then new entries are refused.
 */
public final class Ledger {

	/**
	 * Estimated memory of an entry without strings and body, in bytes: map node, queue
	 * slots, records and array headers.
	 */
	static final long ENTRY_OVERHEAD_BYTES = 320;

	private final long keepNanos;

	private final long maxBytes;

	private final Map<TaskKey, LedgerEntry> entries = new LinkedHashMap<>();

	private final ArrayDeque<EndedTask> endedTasks = new ArrayDeque<>();

	private final ArrayDeque<TaskKey> bodyQueue = new ArrayDeque<>();

	private long entryBytes;

	private long bodyBytes;

	private int runningCount;

	/**
	 * Creates an empty ledger.
	 * @param keepNanos how long an entry is kept after the end of its task, in
	 * nanoseconds
	 * @param maxBytes limit on the size of entries and bodies in bytes
	 */
	public Ledger(long keepNanos, long maxBytes) {
		this.keepNanos = keepNanos;
		this.maxBytes = maxBytes;
	}

	/**
	 * Finds the entry of a task.
	 * @param task the task
	 * @return its entry, or empty if the task was not started or its entry was dropped
	 */
	public Optional<LedgerEntry> find(TaskKey task) {
		return Optional.ofNullable(this.entries.get(task));
	}

	/**
	 * Returns whether the entry of another task fits within the byte limit.
	 * @param task the task
	 * @return whether {@link #recordStart} may be called
	 */
	public boolean hasCapacityFor(TaskKey task) {
		return this.entryBytes + entryBytesOf(task) <= this.maxBytes;
	}

	/**
	 * Adds the entry of a task that is about to start.
	 * @param entry the entry, in state {@code STARTED}
	 */
	public void recordStart(LedgerEntry entry) {
		this.entries.put(entry.task(), entry);
		this.entryBytes += entryBytesOf(entry.task());
		this.runningCount++;
		dropBodies();
	}

	/**
	 * Records the end of a task.
	 * @param task the task
	 * @param state how it ended
	 * @param body body of the answer or reason of the failure
	 * @param runNanos time at the endpoint in nanoseconds
	 * @param now the current time
	 * @return the updated entry with its body, or empty if the task is not running
	 */
	public Optional<LedgerEntry> recordEnd(TaskKey task, LedgerState state, byte[] body, long runNanos, Moment now) {
		LedgerEntry entry = this.entries.get(task);
		if (entry == null || entry.state() != LedgerState.STARTED) {
			return Optional.empty();
		}
		LedgerEntry updated = new LedgerEntry(task, entry.partition(), entry.attempt(), entry.contentHash(), state,
				body, true, runNanos);
		this.entries.put(task, updated);
		this.endedTasks.add(new EndedTask(task, now.nanos()));
		this.bodyQueue.add(task);
		this.bodyBytes += body.length;
		this.runningCount--;
		dropBodies();
		return Optional.of(updated);
	}

	/**
	 * Marks a finished task as cancelled because its job cannot complete.
	 * @param task the task
	 * @param reason the reason, which replaces the body of the answer
	 */
	public void cancelFinished(TaskKey task, byte[] reason) {
		LedgerEntry entry = this.entries.get(task);
		if (entry == null || entry.state() != LedgerState.FINISHED) {
			return;
		}
		byte[] body = entry.bodyComplete() ? reason : entry.body();
		this.bodyBytes += body.length - entry.body().length;
		this.entries.put(task, new LedgerEntry(task, entry.partition(), entry.attempt(), entry.contentHash(),
				LedgerState.CANCELLED, body, entry.bodyComplete(), entry.runNanos()));
		dropBodies();
	}

	/**
	 * Drops entries whose retention has expired.
	 * @param now the current time
	 */
	public void expire(Moment now) {
		while (!this.endedTasks.isEmpty() && now.nanos() - this.endedTasks.peek().endedNanos() >= this.keepNanos) {
			LedgerEntry entry = this.entries.remove(this.endedTasks.poll().task());
			this.entryBytes -= entryBytesOf(entry.task());
			if (entry.bodyComplete()) {
				// Both queues are ordered by the end of the tasks, so this body is the
				// first.
				this.bodyQueue.poll();
				this.bodyBytes -= entry.body().length;
			}
		}
	}

	/**
	 * Returns the entries of some partitions.
	 * @param wanted whether the entries of a partition are wanted, by partition number
	 * @return the entries in the order in which their tasks started
	 */
	public List<LedgerEntry> entriesOf(boolean[] wanted) {
		List<LedgerEntry> found = new ArrayList<>();
		for (LedgerEntry entry : this.entries.values()) {
			if (wanted[entry.partition().number()]) {
				found.add(entry);
			}
		}
		return found;
	}

	/**
	 * Returns the number of tasks that have not ended.
	 * @return the number
	 */
	public int runningCount() {
		return this.runningCount;
	}

	/**
	 * Returns the number of entries.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the size of the ledger.
	 * @return the size of entries and bodies in bytes
	 */
	public long bytes() {
		return this.entryBytes + this.bodyBytes;
	}

	private void dropBodies() {
		while (bytes() > this.maxBytes && !this.bodyQueue.isEmpty()) {
			LedgerEntry entry = this.entries.get(this.bodyQueue.poll());
			this.bodyBytes -= entry.body().length;
			this.entries.put(entry.task(), new LedgerEntry(entry.task(), entry.partition(), entry.attempt(),
					entry.contentHash(), entry.state(), new byte[0], false, entry.runNanos()));
		}
	}

	private static long entryBytesOf(TaskKey task) {
		return ENTRY_OVERHEAD_BYTES + task.job().job().length() + task.job().owner().value().length();
	}

	private record EndedTask(TaskKey task, long endedNanos) {

	}

}
