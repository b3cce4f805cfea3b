package io.coriandermux.proof.mutation;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import io.coriandermux.core.guard.DrainRequested;
import io.coriandermux.core.guard.EntryMessage;
import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.RunTask;
import io.coriandermux.core.guard.SendToEntry;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.Start;

/**
 * Mutators for the decision logic of a guard.
 */
final class GuardMutators {

	private GuardMutators() {
	}

	// Starts a task again when its Start message arrives again, as if there were no
	// ledger.
	static GuardMutator withoutLedger() {
		Set<TaskKey> startedTasks = new LinkedHashSet<>();
		return (inner, event, now) -> {
			List<GuardEffect> effects = new ArrayList<>(inner.handle(event, now));
			if (event instanceof EntryMessage received && received.message() instanceof Start start) {
				boolean started = effects.stream().anyMatch(RunTask.class::isInstance);
				if (!started && startedTasks.contains(start.task())) {
					effects.add(new RunTask(start));
				}
				if (started) {
					startedTasks.add(start.task());
				}
			}
			return effects;
		};
	}

	// Removes the started tasks from the answers to a fence.
	static GuardMutator hidingLedger() {
		return (inner, event,
				now) -> inner.handle(event, now).stream().map(GuardMutators::withoutLedgerEntries).toList();
	}

	private static GuardEffect withoutLedgerEntries(GuardEffect effect) {
		if (effect instanceof SendToEntry send && send.message() instanceof FenceAnswer answer) {
			return new SendToEntry(send.entry(),
					new FenceAnswer(answer.epochs(), List.of(), answer.last(), answer.startedAtEpochMillis()));
		}
		return effect;
	}

	// Ignores the request to drain the endpoint.
	static GuardMutator ignoringDrain() {
		return (inner, event, now) -> (event instanceof DrainRequested) ? List.of() : inner.handle(event, now);
	}

	// Sends each task to the endpoint under the name of another owner.
	static GuardMutator mixingOwners() {
		return (inner, event, now) -> inner.handle(event, now).stream().map(GuardMutators::underOtherOwner).toList();
	}

	private static GuardEffect underOtherOwner(GuardEffect effect) {
		if (!(effect instanceof RunTask run)) {
			return effect;
		}
		Start start = run.start();
		JobKey job = new JobKey(new OwnerId("stranger"), start.task().job().job());
		return new RunTask(new Start(new TaskKey(job, start.task().index()), start.attempt(), start.partition(),
				start.epoch(), start.guardClockEchoNanos(), start.path(), start.payload(), start.timeLimitMillis(),
				start.shortWork(), start.queued()));
	}

}
