package io.coriandermux.core.entry;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import io.coriandermux.core.accept.FailureCause;
import io.coriandermux.core.accept.JobRecord;
import io.coriandermux.core.accept.TaskRecord;
import io.coriandermux.core.accept.TaskState;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.guard.TaskEnded;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Release;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.queue.CreditMessage;
import io.coriandermux.core.queue.Placement;
import io.coriandermux.core.queue.QueuedTask;
import io.coriandermux.core.reply.JobFailure;
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;

/**
 * Tracks the tasks of this home: starts them, and records their results until their jobs
 * have outcomes.
 */
final class TaskTracker {

	// How long no task is placed on a guard after it refused a start for a lasting
	// reason. A missing slot or a drain causes no pause: the credit is lost, so no task
	// is placed before the guard grants another one.
	private static final long GUARD_PAUSE_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final Set<ReplyCode> UNKNOWN_OUTCOME_CODES = Set.of(ReplyCode.GUARD_LOST, ReplyCode.HOME_LOST);

	private final EntryContext context;

	private final GuardRegistry guards;

	private final TakeOverCoordinator takeOvers;

	private final HomeLease lease;

	private final OutcomeReporter outcomes;

	private long lastAttempt;

	TaskTracker(EntryContext context, GuardRegistry guards, TakeOverCoordinator takeOvers, HomeLease lease,
			OutcomeReporter outcomes) {
		this.context = context;
		this.guards = guards;
		this.takeOvers = takeOvers;
		this.lease = lease;
		this.outcomes = outcomes;
		this.lastAttempt = context.settings().self().incarnation().sequenceBase();
	}

	// Places waiting tasks and sends the scheduler's credit messages.
	void placeTasks() {
		Moment now = this.context.now();
		for (Placement placement : this.context.scheduler().place(now)) {
			QueuedTask task = placement.task();
			Optional<TaskRecord> record = this.context.jobs().find(task.task());
			Optional<GuardLink> link = this.guards.link(placement.guard());
			if (record.isEmpty() || link.isEmpty() || !canPlace(task)) {
				this.context.scheduler().onStartRefused(task, placement.guard(), false, now);
				if (record.isEmpty()) {
					this.context.scheduler().remove(task.task());
				}
				continue;
			}
			Start start = createStart(placement, link.get());
			record.get().markStarted(placement.guard(), start, link.get().usagePeriod());
			this.context.send(placement.guard(), start);
		}
		for (CreditMessage message : this.context.scheduler().creditMessages(now)) {
			this.context.send(message.guard(), message.message());
		}
	}

	private boolean canPlace(QueuedTask task) {
		if (new JobId(task.task().job().job()).partitionEpoch().isPresent()) {
			return true;
		}
		Pool pool = this.context.tables().pools().get(task.pool());
		return pool != null && this.lease.isHeld(pool);
	}

	private Start createStart(Placement placement, GuardLink link) {
		QueuedTask task = placement.task();
		long remainingMillis = Math.max(1, (task.deadlineNanos() - this.context.now().nanos()) / NANOS_PER_MILLI);
		long timeLimitMillis = this.context.routes()
			.find(task.task().job().owner(), task.spec().path())
			.map(Route::timeoutMillis)
			.orElse(remainingMillis);
		return new Start(task.task(), new AttemptId(++this.lastAttempt), task.partition(),
				this.context.homes().epoch(task.partition()), link.clockNanos(), task.spec().path(),
				task.spec().payload(), Math.min(remainingMillis, timeLimitMillis), placement.shortWork(),
				placement.queued());
	}

	void onAnswer(GuardId guard, Answer answer) {
		Optional<TaskRecord> record = this.context.jobs().find(answer.task());
		if (record.filter((task) -> task.isAttempt(guard, answer.attempt())).isEmpty()) {
			onUnmatchedAnswer(guard, answer);
			return;
		}
		reportEnd(record.get(), guard, answer.state() == LedgerState.FINISHED, answer.runNanos(),
				answer.creditReturned());
		endTask(answer.task(), answer.state(), answer.body(), answer.bodyComplete());
	}

	private void onUnmatchedAnswer(GuardId guard, Answer answer) {
		if (!this.takeOvers.recoveredTasks().recordAnswer(answer, guard, this.context.now())) {
			this.context.publishNotice(NoticeKind.MESSAGE_DROPPED, answer.task().toString(),
					"answer to attempt " + answer.attempt().value() + " at " + guard);
		}
		if (answer.creditReturned()) {
			this.context.send(guard, new Release(1));
		}
	}

	// Reports the end of a task to the scheduler, except for a joined task: it was placed
	// by a previous home, so the scheduler has no record of it.
	private void reportEnd(TaskRecord task, GuardId guard, boolean success, long runNanos, boolean credit) {
		if (task.start().isEmpty()) {
			return;
		}
		boolean sameUsagePeriod = isSameUsagePeriod(task, guard);
		this.context.scheduler()
			.onTaskEnded(task.task().task(), guard, success, runNanos, credit && sameUsagePeriod, this.context.now());
		if (credit && !sameUsagePeriod) {
			this.guards.addCredits(guard, 1);
		}
	}

	private boolean isSameUsagePeriod(TaskRecord task, GuardId guard) {
		return this.guards.link(guard)
			.filter((link) -> link.isUsable() && link.usagePeriod() == task.usagePeriod())
			.isPresent();
	}

	// Handles a ledger entry of a task that has a record here, or of a job that a
	// previous home accepted.
	void onLedgerEntry(GuardId guard, LedgerEntry entry) {
		Optional<TaskRecord> record = this.context.jobs().find(entry.task());
		if (record.isPresent()) {
			if (record.get().isAttempt(guard, entry.attempt()) && entry.state() != LedgerState.STARTED) {
				reportEnd(record.get(), guard, entry.state() == LedgerState.FINISHED, entry.runNanos(), false);
				endTask(entry.task(), entry.state(), entry.body(), entry.bodyComplete());
			}
		}
		else if (this.context.jobs().find(entry.task().job()).isEmpty()
				&& this.context.homes().isHome(entry.partition())) {
			this.takeOvers.recoveredTasks().add(entry, guard, this.context.now());
		}
	}

	// Ends a task with the result in a guard's ledger or answer.
	void endTask(TaskKey key, LedgerState state, byte[] body, boolean bodyComplete) {
		JobRecord job = this.context.jobs().find(key.job()).orElseThrow();
		TaskRecord task = job.tasks().get(key.index());
		if (state == LedgerState.FINISHED) {
			task.markEnded(Outcome.COMPLETE, "", body);
			if (!bodyComplete) {
				failJob(job, new FailureCause(Outcome.FAILED, ReplyCode.ANSWER_DROPPED,
						"task " + key.index() + " ended, but its answer was dropped to stay within a byte bound"));
			}
		}
		else {
			String reason = new String(body, StandardCharsets.UTF_8);
			task.markEnded(Outcome.FAILED, reason);
			ReplyCode code = replyCode(state, reason);
			// A previous home may have aborted the task because another task was lost.
			Outcome outcome = UNKNOWN_OUTCOME_CODES.contains(code) ? Outcome.OUTCOME_UNKNOWN : Outcome.FAILED;
			failJob(job, new FailureCause(outcome, code, "task " + key.index() + ": " + reason));
		}
		finishIfEnded(job);
	}

	private static ReplyCode replyCode(LedgerState state, String reason) {
		if (state == LedgerState.CANCELLED) {
			return Arrays.stream(ReplyCode.values())
				.filter((cause) -> reason.equals(TaskEnded.ABORT_REASON + cause.name()))
				.findFirst()
				.orElse(ReplyCode.CANCELLED);
		}
		return reason.startsWith(TaskEnded.TIME_LIMIT_REASON) ? ReplyCode.TIME_LIMIT : ReplyCode.ENDPOINT_FAILED;
	}

	void onRefused(GuardId guard, Refused refused) {
		Optional<TaskRecord> found = this.context.jobs().find(refused.task());
		if (found.filter((task) -> task.isAttempt(guard, refused.attempt())).isEmpty()) {
			this.context.publishNotice(NoticeKind.MESSAGE_DROPPED, refused.task().toString(),
					"refusal of attempt " + refused.attempt().value() + " at " + guard);
			return;
		}
		StartRefusal reason = refused.reason();
		TaskRecord task = found.get();
		boolean creditLost = reason == StartRefusal.NO_SLOT || reason == StartRefusal.LEAVING;
		boolean sameUsagePeriod = isSameUsagePeriod(task, guard);
		task.markQueued();
		this.context.scheduler().onStartRefused(task.task(), guard, creditLost || !sameUsagePeriod, this.context.now());
		if (!creditLost && !sameUsagePeriod) {
			this.guards.addCredits(guard, 1);
		}
		if (!creditLost) {
			this.guards.pause(guard, this.context.nanosAfter(GUARD_PAUSE_MILLIS));
		}
		if (reason == StartRefusal.UNFENCED) {
			this.guards.fence(guard, this.context.homes().ownPartitions());
		}
		JobRecord job = this.context.jobs().find(refused.task().job()).orElseThrow();
		job.cause().ifPresent((cause) -> {
			dropTask(task, cause);
			finishIfEnded(job);
		});
	}

	// Ends a job early: drops its waiting tasks and aborts its running ones.
	void failJob(JobRecord job, FailureCause cause) {
		if (!job.fail(cause)) {
			return;
		}
		for (TaskRecord task : job.tasks()) {
			if (task.state() == TaskState.QUEUED) {
				dropTask(task, cause);
			}
			else if (task.state() == TaskState.RUNNING) {
				task.guard()
					.ifPresent((guard) -> this.context.send(guard, CancelTask.abort(task.task().task(), cause.code())));
			}
		}
		finishIfEnded(job);
	}

	private void dropTask(TaskRecord task, FailureCause cause) {
		this.context.scheduler().remove(task.task().task());
		task.markEnded(Outcome.NOT_RUN, cause.reason());
	}

	private void finishIfEnded(JobRecord job) {
		if (!job.tryFinish()) {
			return;
		}
		JobOutcome outcome = job.outcome();
		cancellations(job).forEach((cancellation) -> this.context.send(cancellation.guard(), cancellation.message()));
		this.context.publishNotice(NoticeKind.JOB_ENDED, job.key().toString(),
				outcome.outcome() + " " + outcome.code());
		if (outcome.outcome() != Outcome.COMPLETE) {
			this.context.failures()
				.add(new JobFailure(job.key(), outcome.outcome(), outcome.code(), outcome.reason(),
						this.context.now().epochMillis()));
		}
		for (PendingRequest pendingRequest : this.context.pendingRequests().take(job.key())) {
			this.outcomes.reply(pendingRequest.requester(), job);
		}
		this.context.jobs().markFinished(job, this.context.now());
	}

	// If all started tasks of a failed job are complete, their guards have to mark the
	// ledger entries as cancelled with its cause. Otherwise a later home would report the
	// job as complete.
	private static Stream<Cancellation> cancellations(JobRecord job) {
		List<TaskRecord> started = job.tasks().stream().filter((task) -> task.guard().isPresent()).toList();
		if (job.cause().isEmpty() || job.outcome().outcome() == Outcome.COMPLETE
				|| !started.stream().allMatch((task) -> task.outcome() == Outcome.COMPLETE)) {
			return Stream.empty();
		}
		ReplyCode cause = job.cause().get().code();
		return started.stream()
			.map((task) -> new Cancellation(task.guard().get(), new CancelTask(task.task().task(), cause, true)));
	}

	// Ends the tasks that ran on a lost guard.
	void onGuardLost(GuardId guard) {
		for (JobRecord job : List.copyOf(this.context.jobs().all())) {
			if (!job.isFinished()) {
				job.tasks()
					.stream()
					.filter((task) -> isRunningOn(task, guard))
					.forEach((task) -> loseTask(job, task, guard));
			}
		}
		this.takeOvers.recoveredTasks().onGuardLost(guard);
	}

	void loseTask(JobRecord job, TaskRecord task, GuardId guard) {
		TaskKey key = task.task().task();
		String reason = "guard " + guard + " was lost while the task may have run";
		reportEnd(task, guard, false, 0, false);
		task.markEnded(Outcome.OUTCOME_UNKNOWN, reason);
		failJob(job,
				new FailureCause(Outcome.OUTCOME_UNKNOWN, ReplyCode.GUARD_LOST, "task " + key.index() + ": " + reason));
		// A job that failed earlier ends when its last running task is lost.
		finishIfEnded(job);
	}

	// Drops the jobs of partitions that have another home. Returns the requests that wait
	// for them.
	List<PendingRequest> dropJobs(BitSet lost) {
		List<PendingRequest> waiting = new ArrayList<>();
		for (JobRecord job : List.copyOf(this.context.jobs().all())) {
			if (!lost.get(job.home().partition().number())) {
				continue;
			}
			for (TaskRecord task : job.tasks()) {
				if (task.state() == TaskState.RUNNING && task.start().isPresent()) {
					// Withdrawn from the scheduler like a refused start: the result goes
					// to the new home, so the end of the task is not recorded here.
					this.context.scheduler().onStartRefused(task.task(), task.guard().get(), true, this.context.now());
				}
				if (task.state() != TaskState.ENDED) {
					this.context.scheduler().remove(task.task().task());
				}
			}
			this.context.jobs().remove(job);
			waiting.addAll(this.context.pendingRequests().take(job.key()));
		}
		return waiting;
	}

	// Sends messages again that a replaced link may have lost.
	void resend(GuardId guard) {
		long clock = this.guards.link(guard).map(GuardLink::clockNanos).orElse(0L);
		for (JobRecord job : List.copyOf(this.context.jobs().all())) {
			for (TaskRecord task : job.tasks()) {
				if (!isRunningOn(task, guard)) {
					continue;
				}
				job.cause()
					.ifPresent((cause) -> this.context.send(guard, CancelTask.abort(task.task().task(), cause.code())));
				task.start().ifPresent((start) -> this.context.send(guard, withClockEcho(start, clock)));
			}
			if (job.isFinished()) {
				cancellations(job).filter((cancellation) -> cancellation.guard().equals(guard))
					.forEach((cancellation) -> this.context.send(guard, cancellation.message()));
			}
		}
	}

	private static Start withClockEcho(Start start, long clockNanos) {
		return new Start(start.task(), start.attempt(), start.partition(), start.epoch(), clockNanos, start.path(),
				start.payload(), start.timeLimitMillis(), start.shortWork(), start.queued());
	}

	private static boolean isRunningOn(TaskRecord task, GuardId guard) {
		return task.state() == TaskState.RUNNING && task.guard().filter(guard::equals).isPresent();
	}

	// Ends jobs whose deadline has passed or cannot be met.
	void expireJobs() {
		for (QueuedTask task : this.context.scheduler().removeExpired(this.context.now())) {
			this.context.jobs()
				.find(task.task().job())
				.ifPresent((job) -> failJob(job, deadlineCause("a task waited")));
		}
		this.context.jobs()
			.pollOverdue(this.context.now())
			.forEach((job) -> failJob(job, deadlineCause("the job ran")));
	}

	private static FailureCause deadlineCause(String event) {
		return new FailureCause(Outcome.FAILED, ReplyCode.DEADLINE, event + " until the deadline could not be met");
	}

	/**
	 * A message that marks the ledger entry of a task of a failed job.
	 *
	 * @param guard the guard that holds the entry
	 * @param message the message
	 */
	private record Cancellation(GuardId guard, CancelTask message) {

	}

}
