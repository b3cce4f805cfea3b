package io.coriandermux.proof.mutation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.core.entry.CallerRequested;
import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.entry.GuardLost;
import io.coriandermux.core.entry.GuardMessage;
import io.coriandermux.core.entry.ReplyToCaller;
import io.coriandermux.core.entry.SendToGuard;
import io.coriandermux.core.entry.ShutdownRequested;
import io.coriandermux.core.entry.TablesChanged;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Start;
import io.coriandermux.proof.simulation.EntryLogic;

/**
 * Mutators for the decision logic of an entry.
 */
final class EntryMutators {

	private static final long REVERT_INTERVAL_NANOS = 4_000_000_000L;

	private EntryMutators() {
	}

	private static EntryMutator changingReplies(UnaryOperator<CallerReply> change) {
		return (inner, event, now) -> inner.handle(event, now)
			.stream()
			.map((effect) -> (effect instanceof ReplyToCaller reply)
					? new ReplyToCaller(reply.reference(), change.apply(reply.reply())) : effect)
			.toList();
	}

	// Replaces the answers of a complete job by those of the previous complete job.
	static EntryMutator swappingAnswers() {
		List<JobOutcome> previous = new ArrayList<>();
		return changingReplies((reply) -> {
			if (!(reply instanceof JobOutcome outcome) || outcome.outcome() != Outcome.COMPLETE) {
				return reply;
			}
			previous.add(outcome);
			JobOutcome replacement = previous.get(Math.max(0, previous.size() - 2));
			return new JobOutcome(outcome.job(), outcome.outcome(), outcome.code(), outcome.reason(),
					replacement.tasks());
		});
	}

	// Omits the last answer of a complete job.
	static EntryMutator answeringPartially() {
		return changingReplies((reply) -> {
			if (!(reply instanceof JobOutcome outcome) || outcome.outcome() != Outcome.COMPLETE) {
				return reply;
			}
			List<TaskResult> partial = outcome.tasks().subList(0, outcome.tasks().size() - 1);
			return new JobOutcome(outcome.job(), outcome.outcome(), outcome.code(), outcome.reason(), partial);
		});
	}

	// Reports each job that is not complete as not run.
	static EntryMutator reportingNotRun() {
		return changingReplies((reply) -> (reply instanceof JobOutcome outcome && outcome.outcome() != Outcome.COMPLETE)
				? new JobOutcome(outcome.job(), Outcome.NOT_RUN, outcome.code(), outcome.reason(), outcome.tasks())
				: reply);
	}

	// Reports a complete job as failed by an endpoint, without its answers.
	static EntryMutator reportingFailure() {
		return changingReplies((reply) -> {
			if (!(reply instanceof JobOutcome outcome) || outcome.outcome() != Outcome.COMPLETE) {
				return reply;
			}
			List<TaskResult> withoutBodies = outcome.tasks()
				.stream()
				.map((task) -> new TaskResult(task.outcome(), task.reason(), new byte[0]))
				.toList();
			return new JobOutcome(outcome.job(), Outcome.FAILED, ReplyCode.ENDPOINT_FAILED, "", withoutBodies);
		});
	}

	// Drops all replies that contain the outcome of a job.
	static EntryMutator droppingOutcomes() {
		return (inner, event, now) -> inner.handle(event, now)
			.stream()
			.filter((effect) -> !(effect instanceof ReplyToCaller reply && reply.reply() instanceof JobOutcome))
			.toList();
	}

	// Refuses each submission at once but still runs the job.
	static EntryMutator runningRefusedJobs() {
		return (inner, event, now) -> {
			List<EntryEffect> effects = new ArrayList<>();
			if (event instanceof CallerRequested requested && requested.request() instanceof SubmitJob) {
				effects.add(new ReplyToCaller(requested.reference(),
						new Refusal(Outcome.NOT_RUN, ReplyCode.OVERLOADED, "", 0)));
			}
			effects.addAll(inner.handle(event, now));
			return effects;
		};
	}

	// Refuses all open requests when a shutdown is requested.
	static EntryMutator refusingOpenRequestsOnShutdown() {
		Set<Long> open = new LinkedHashSet<>();
		return (inner, event, now) -> {
			if (event instanceof CallerRequested requested) {
				open.add(requested.reference());
			}
			List<EntryEffect> effects = new ArrayList<>(inner.handle(event, now));
			effects.forEach((effect) -> {
				if (effect instanceof ReplyToCaller reply) {
					open.remove(reply.reference());
				}
			});
			if (event instanceof ShutdownRequested) {
				Refusal refusal = new Refusal(Outcome.UNDECIDED, ReplyCode.SHUTTING_DOWN, "", 0);
				open.forEach((reference) -> effects.add(new ReplyToCaller(reference, refusal)));
			}
			return effects;
		};
	}

	// Starts all tasks that were sent to a lost guard again at every other guard.
	static EntryMutator retryingStartedTasks() {
		Map<GuardId, List<Start>> sent = new LinkedHashMap<>();
		Map<GuardId, Long> guardClocks = new LinkedHashMap<>();
		return (inner, event, now) -> {
			if (event instanceof GuardMessage received && received.message() instanceof Heartbeat heartbeat) {
				guardClocks.put(received.guard(), heartbeat.clockNanos());
			}
			List<EntryEffect> effects = new ArrayList<>(inner.handle(event, now));
			for (EntryEffect effect : effects) {
				if (effect instanceof SendToGuard send && send.message() instanceof Start start) {
					sent.computeIfAbsent(send.guard(), (key) -> new ArrayList<>()).add(start);
				}
			}
			if (event instanceof GuardLost lost) {
				guardClocks.remove(lost.guard());
				for (Start start : sent.getOrDefault(lost.guard(), List.of())) {
					guardClocks.forEach((guard, guardClockNanos) -> effects
						.add(new SendToGuard(guard, withClockEcho(start, guardClockNanos))));
				}
			}
			return effects;
		};
	}

	private static Start withClockEcho(Start start, long guardClockNanos) {
		return new Start(start.task(), start.attempt(), start.partition(), start.epoch(), guardClockNanos, start.path(),
				start.payload(), start.timeLimitMillis(), start.shortWork(), start.queued());
	}

	// Ignores every configuration after the first one.
	static EntryMutator ignoringConfiguration() {
		Set<Revision> accepted = new LinkedHashSet<>();
		return (inner, event, now) -> {
			if (event instanceof TablesChanged changed && !accepted.isEmpty()
					&& !accepted.contains(changed.tables().revision())) {
				return List.of();
			}
			if (event instanceof TablesChanged changed) {
				accepted.add(changed.tables().revision());
			}
			return inner.handle(event, now);
		};
	}

	// Reports the first status, with its revisions, in every other interval.
	static EntryMutator revertingRevisions() {
		return new EntryMutator() {

			private EntryStatus firstStatus;

			@Override
			public List<EntryEffect> handle(EntryLogic inner, EntryEvent event, Moment now) {
				return inner.handle(event, now);
			}

			@Override
			public EntryStatus status(EntryLogic inner, Moment now) {
				EntryStatus status = inner.status(now);
				if (this.firstStatus == null) {
					this.firstStatus = status;
				}
				return (now.nanos() / REVERT_INTERVAL_NANOS % 2 == 0) ? this.firstStatus : status;
			}

		};
	}

}
