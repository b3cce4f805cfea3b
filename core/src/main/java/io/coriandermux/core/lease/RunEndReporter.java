package io.coriandermux.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Reports the ends of runs to the entries that requested them.
 */
final class RunEndReporter {

	private final EntryChannel entries;

	private final EntrySessions sessions;

	private final RunNotices notices;

	private final EndedRunHistory history;

	/** Answers deferred until no run of a previous guard can be active. */
	private final Set<OwnedRun> deferred = new LinkedHashSet<>();

	RunEndReporter(EntryChannel entries, EntrySessions sessions, EndedRunHistory history, RunNotices notices) {
		this.history = history;
		this.entries = entries;
		this.sessions = sessions;
		this.notices = notices;
	}

	/**
	 * Reports the end of a run that was ordered at the endpoint.
	 * @param held the run
	 * @param outcome its outcome
	 * @param runMillis time since the order in milliseconds
	 * @param nowNanos the current time on the monotonic clock
	 */
	void reportEnd(HeldRun held, RunOutcome outcome, long runMillis, long nowNanos) {
		this.history.addOrdered(held.run,
				new EndedRunHistory.OrderedEnd(held.owner, outcome, held.endProof(), nowNanos));
		report(held.owner, new RunEnded(held.run, outcome, runMillis));
	}

	/**
	 * Reports that a run was not started. It is never started later.
	 * @param owner the entry that has requested the run
	 * @param run the run
	 * @param reason why it was not started
	 */
	void reportRefusal(EntryIncarnation owner, RunId run, RunOutcome reason) {
		// A claim of another entry explains only this refusal: the entry may claim the
		// batch later and order a run of the same number.
		RunOutcome kept = (reason == RunOutcome.CLAIMED) ? RunOutcome.NOT_STARTED : reason;
		this.history.add(owner, new RunEnded(run, kept, 0));
		send(owner, new RunEnded(run, reason, 0));
	}

	private void report(EntryIncarnation owner, RunEnded ended) {
		this.history.add(owner, ended);
		send(owner, ended);
	}

	// The next incarnation of an entry has runs of the same numbers.
	private void send(EntryIncarnation owner, RunEnded ended) {
		boolean replaced = this.sessions.find(owner.entry())
			.filter((session) -> !session.incarnation().equals(owner.incarnation()))
			.isPresent();
		if (!replaced) {
			this.entries.send(owner.entry(), ended);
		}
	}

	boolean hasEnded(EntryIncarnation owner, RunId run) {
		return this.history.find(owner, run).isPresent();
	}

	/**
	 * Returns whether a run with this id was ordered at the endpoint and has ended.
	 * @param run id of the run
	 * @return whether it was ordered for any entry
	 */
	boolean wasOrdered(RunId run) {
		return this.history.wasOrdered(run);
	}

	/**
	 * Reports to an entry that a run is not active. A run without a recorded end was not
	 * started by this guard and is reported as not started. This is recorded, because the
	 * entry may start the task elsewhere: a start order that arrives later, on another
	 * connection or for a later submission of the batch, must not start the run.
	 * @param owner the entry
	 * @param run the run
	 * @param settled whether no run of a previous guard can be active; if not, the answer
	 * is deferred
	 */
	void reportInactive(EntryIncarnation owner, RunId run, boolean settled) {
		Optional<RunEnded> ended = this.history.find(owner, run);
		this.notices.onInactiveRequested(run, owner.entry(), ended, settled);
		if (!settled) {
			this.deferred.add(new OwnedRun(owner, run));
			return;
		}
		ended.ifPresentOrElse((end) -> send(owner, end), () -> reportRefusal(owner, run, RunOutcome.NOT_STARTED));
	}

	void onSettled() {
		List<OwnedRun> pending = new ArrayList<>(this.deferred);
		this.deferred.clear();
		pending.forEach((asked) -> reportInactive(asked.owner(), asked.run(), true));
	}

}
