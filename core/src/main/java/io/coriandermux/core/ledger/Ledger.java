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
 * Entries of started tasks. An entry is written before its task starts and is kept for a
 * fixed time after its end. The byte bound never evicts an entry, since a missing entry
 * would permit a second start; it drops bodies of ended tasks, oldest first, and then
 * refuses new entries.
 */
public final class Ledger {

	/**
	 * Estimate of the memory of an entry without strings and body: map node, queue slots,
	 * records and array headers.
	 */
	static final long ENTRY_BYTES = 320;

	private final long keepNanos;

	private final long maxBytes;

	private final Map<TaskKey, LedgerEntry> entries = new LinkedHashMap<>();

	private final ArrayDeque<Ended> ended = new ArrayDeque<>();

	private final ArrayDeque<TaskKey> bodies = new ArrayDeque<>();

	private long stateBytes;

	private long bodyBytes;

	private int running;

	/**
	 * Creates an empty ledger.
	 * @param keepNanos how long an entry is kept after its end, in nanoseconds
	 * @param maxBytes byte bound
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
	 * Returns whether an entry fits.
	 * @param task the task
	 * @return whether {@link #started} may be called
	 */
	public boolean hasRoom(TaskKey task) {
		return this.stateBytes + stateBytes(task) <= this.maxBytes;
	}

	/**
	 * Writes the entry of a task that is about to start.
	 * @param entry the entry, in state {@code STARTED}
	 */
	public void started(LedgerEntry entry) {
		this.entries.put(entry.task(), entry);
		this.stateBytes += stateBytes(entry.task());
		this.running++;
		dropBodies();
	}

	/**
	 * Records the end of a task.
	 * @param task the task
	 * @param state how it ended
	 * @param body body of the answer or reason of the failure
	 * @param runNanos time at the endpoint in nanoseconds
	 * @param now the current time
	 * @return the changed entry with its body, or empty if no such task runs
	 */
	public Optional<LedgerEntry> end(TaskKey task, LedgerState state, byte[] body, long runNanos, Moment now) {
		LedgerEntry entry = this.entries.get(task);
		if (entry == null || entry.state() != LedgerState.STARTED) {
			return Optional.empty();
		}
		LedgerEntry changed = new LedgerEntry(task, entry.partition(), entry.attempt(), entry.content(), state, body,
				true, runNanos);
		this.entries.put(task, changed);
		this.ended.add(new Ended(task, now.nanos()));
		this.bodies.add(task);
		this.bodyBytes += body.length;
		this.running--;
		dropBodies();
		return Optional.of(changed);
	}

	/**
	 * Records that the job of a task that is done cannot become complete.
	 * @param task the task
	 * @param reason why, kept in place of the answer
	 */
	public void cancelDone(TaskKey task, byte[] reason) {
		LedgerEntry entry = this.entries.get(task);
		if (entry == null || entry.state() != LedgerState.FINISHED) {
			return;
		}
		byte[] body = entry.bodyHeld() ? reason : entry.body();
		this.bodyBytes += body.length - entry.body().length;
		this.entries.put(task, new LedgerEntry(task, entry.partition(), entry.attempt(), entry.content(),
				LedgerState.CANCELLED, body, entry.bodyHeld(), entry.runNanos()));
		dropBodies();
	}

	/**
	 * Drops entries whose retention has passed.
	 * @param now the current time
	 */
	public void expire(Moment now) {
		while (!this.ended.isEmpty() && now.nanos() - this.ended.peek().atNanos() >= this.keepNanos) {
			LedgerEntry entry = this.entries.remove(this.ended.poll().task());
			this.stateBytes -= stateBytes(entry.task());
			if (entry.bodyHeld()) {
				// Bodies are queued in the order in which tasks end, as entries are.
				this.bodies.poll();
				this.bodyBytes -= entry.body().length;
			}
		}
	}

	/**
	 * Lists the entries of some partitions.
	 * @param wanted by partition number, whether its entries are wanted
	 * @return the entries in the order in which their tasks started
	 */
	public List<LedgerEntry> of(boolean[] wanted) {
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
	public int running() {
		return this.running;
	}

	/**
	 * Returns the number of entries.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns the bytes in use.
	 * @return the bytes of entries and bodies
	 */
	public long bytes() {
		return this.stateBytes + this.bodyBytes;
	}

	private void dropBodies() {
		while (bytes() > this.maxBytes && !this.bodies.isEmpty()) {
			LedgerEntry entry = this.entries.get(this.bodies.poll());
			this.bodyBytes -= entry.body().length;
			this.entries.put(entry.task(), new LedgerEntry(entry.task(), entry.partition(), entry.attempt(),
					entry.content(), entry.state(), new byte[0], false, entry.runNanos()));
		}
	}

	private static long stateBytes(TaskKey task) {
		return ENTRY_BYTES + task.job().job().length() + task.job().owner().value().length();
	}

	private record Ended(TaskKey task, long atNanos) {

	}

}
