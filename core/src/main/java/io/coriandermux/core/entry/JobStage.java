package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.accept.Cause;
import io.coriandermux.core.accept.ContentHash;
import io.coriandermux.core.accept.IdCheck;
import io.coriandermux.core.accept.JobRecord;
import io.coriandermux.core.accept.TaskRecord;
import io.coriandermux.core.accept.TaskState;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.home.FoundTask;
import io.coriandermux.core.home.TakeOver;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.queue.Admission;
import io.coriandermux.core.queue.QueuedTask;
import io.coriandermux.core.reply.Waiter;
import io.coriandermux.core.table.Route;

/**
 * Requests for jobs whose home is this entry: accepts, joins, replays or refuses a job.
 */
final class JobStage {

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final String HOME_LOST = "the former home is gone, and not every guard that may have started the"
			+ " task has shown its ledger";

	private static final Refusal UNCONFIRMED = new Refusal(Outcome.UNDECIDED, ReplyCode.HOME_UNCONFIRMED,
			"no majority of the pool's guards confirms this entry as home", RETRY_AFTER_MILLIS);

	private final EntryContext context;

	private final LeaseStage lease;

	private final TakeOverStage takeOvers;

	private final HomeStage homes;

	private final TaskStage tasks;

	private final ClaimStage claims;

	private final IdCheck idCheck;

	JobStage(EntryContext context, LeaseStage lease, TakeOverStage takeOvers, HomeStage homes, TaskStage tasks,
			ClaimStage claims) {
		this.context = context;
		this.lease = lease;
		this.takeOvers = takeOvers;
		this.homes = homes;
		this.tasks = tasks;
		this.claims = claims;
		this.idCheck = new IdCheck(context.settings().retentionMillis());
	}

	// Returns false if the decision has to wait for a take-over.
	boolean decide(Waiter waiter, JobKey key, Partition partition) {
		CallerRequest request = waiter.request();
		Optional<JobRecord> known = this.context.jobs().find(key);
		if (known.isPresent()) {
			known(waiter, request, known.get());
			return true;
		}
		Optional<TakeOver> takeOver = this.takeOvers.of(partition);
		if (takeOver.isPresent() && !takeOver.get().isOpen()) {
			return false;
		}
		Map<Integer, FoundTask> found = this.takeOvers.found().of(key);
		if (!(request instanceof SubmitJob submit)) {
			unknown(waiter, request, found);
			return true;
		}
		long created = IdCheck.createdAtMillis(submit);
		boolean clear = found.isEmpty()
				&& (takeOver.isEmpty() || this.takeOvers.isYounger(key, takeOver.get(), partition, created));
		if (!clear && !takeOver.map(TakeOver::isCollected).orElse(true)) {
			return false;
		}
		boolean certain = clear || takeOver.isEmpty() || this.takeOvers.isCertain(key, takeOver.get(), created);
		submit(waiter, submit, key, partition, certain);
		return true;
	}

	private void known(Waiter waiter, CallerRequest request, JobRecord job) {
		if (request instanceof SubmitJob submit) {
			if (job.content() != ContentHash.of(submit.tasks())) {
				conflict(waiter);
				return;
			}
			this.context.notice(NoticeKind.JOB_REPLAYED, job.key().toString(), "resubmitted");
		}
		attend(waiter, job);
		if (request instanceof CancelJob && !job.isFinished()) {
			this.tasks.fail(job, new Cause(Outcome.FAILED, ReplyCode.CANCELLED, "the owner cancelled the job"));
		}
	}

	private void conflict(Waiter waiter) {
		// Nothing is claimed: tasks with the same content may have run under this id.
		this.context.refuse(waiter.requester(), Outcome.UNDECIDED, ReplyCode.ID_CONFLICT,
				"the id was used for a job with other tasks", 0);
	}

	private void unknown(Waiter waiter, CallerRequest request, Map<Integer, FoundTask> found) {
		if (found.isEmpty()) {
			this.context.refuse(waiter.requester(), Outcome.UNDECIDED, ReplyCode.UNKNOWN_JOB, "no such job is known",
					0);
			return;
		}
		if (request instanceof CancelJob) {
			found.values()
				.stream()
				.filter((task) -> task.entry().state() == LedgerState.STARTED && !task.guardLost())
				.forEach((task) -> this.context.send(task.guard(),
						CancelTask.abort(task.entry().task(), ReplyCode.CANCELLED)));
		}
		this.context.refuse(waiter.requester(), Outcome.UNDECIDED, ReplyCode.HOME_LOST,
				"the former home of the job is gone; resubmit the job to join its tasks", RETRY_AFTER_MILLIS);
	}

	private void submit(Waiter waiter, SubmitJob submit, JobKey key, Partition partition, boolean certain) {
		Map<Integer, FoundTask> found = this.takeOvers.found().of(key);
		if (isConflicting(submit, found)) {
			conflict(waiter);
			return;
		}
		if (!(found.isEmpty() && certain) && !canJoin(waiter)) {
			return;
		}
		Optional<Refusal> refusal = found.isEmpty() ? refusal(waiter, submit) : Optional.empty();
		if (refusal.isPresent() && (certain || refusal.get().outcome() != Outcome.NOT_RUN)) {
			this.claims.refuse(waiter.requester(), submit.owner(), refusal.get());
			return;
		}
		long age = this.context.now().epochMillis() - IdCheck.createdAtMillis(submit);
		long deadlineNanos = this.context.nanosIn(submit.deadlineMillis() - age);
		List<TaskRecord> records = new ArrayList<>();
		for (TaskSpec spec : submit.tasks()) {
			TaskKey task = new TaskKey(key, records.size());
			Optional<Route> route = this.context.routes().find(submit.owner(), spec.path());
			if (route.isEmpty()) {
				this.claims.refuse(waiter.requester(), submit.owner(),
						new Refusal((found.isEmpty() && certain) ? Outcome.NOT_RUN : Outcome.UNDECIDED,
								ReplyCode.NO_ROUTE, "no route of the owner matches the path " + spec.path(), 0));
				return;
			}
			records.add(new TaskRecord(
					new QueuedTask(task, partition, route.get().name(), route.get().pool(), spec, deadlineNanos)));
		}
		JobRecord job = new JobRecord(key, new PartitionEpoch(partition, this.context.homes().epoch(partition)),
				ContentHash.of(submit.tasks()), deadlineNanos, records);
		Optional<Refusal> late = Optional.empty();
		if (certain && !isDecided(found)) {
			List<QueuedTask> queued = records.stream()
				.map(TaskRecord::task)
				.filter((task) -> !found.containsKey(task.task().index()))
				.toList();
			Optional<Refusal> denied = admit(queued, key, found.isEmpty());
			if (denied.isPresent() && (found.isEmpty() || denied.get().code() != ReplyCode.DEADLINE)) {
				this.claims.refuse(waiter.requester(), submit.owner(), denied.get());
				return;
			}
			late = denied;
		}
		accept(waiter, job, found, certain);
		// Some tasks have run, so the job has failed, and a later submission cannot help.
		late.ifPresent((denied) -> this.tasks.fail(job, new Cause(Outcome.FAILED, denied.code(), denied.reason())));
	}

	// Nothing is claimed about tasks that a former home may have started.
	private boolean canJoin(Waiter waiter) {
		boolean full = !this.context.jobs().hasRoom();
		if (full || this.homes.isClosedTo(waiter)) {
			this.context.refuse(waiter.requester(), Outcome.UNDECIDED,
					full ? ReplyCode.ENTRY_FULL : ReplyCode.SHUTTING_DOWN, "the entry accepts no job now",
					RETRY_AFTER_MILLIS);
			return false;
		}
		return true;
	}

	private Optional<Refusal> refusal(Waiter waiter, SubmitJob submit) {
		Optional<Refusal> age = this.idCheck.check(submit, this.context.now());
		if (age.isPresent()) {
			return age;
		}
		long ageMillis = this.context.now().epochMillis() - IdCheck.createdAtMillis(submit);
		if (this.homes.isClosedTo(waiter)) {
			return Optional.of(notRun(ReplyCode.SHUTTING_DOWN, "the entry shuts down", RETRY_AFTER_MILLIS));
		}
		if (!this.context.jobs().hasRoom()) {
			return Optional.of(notRun(ReplyCode.ENTRY_FULL, "the entry holds its maximum of jobs", RETRY_AFTER_MILLIS));
		}
		return (ageMillis >= submit.deadlineMillis())
				? Optional.of(notRun(ReplyCode.DEADLINE, "the deadline has passed", 0)) : Optional.empty();
	}

	private static Refusal notRun(ReplyCode code, String reason, long retryAfterMillis) {
		return new Refusal(Outcome.NOT_RUN, code, reason, retryAfterMillis);
	}

	private static boolean isConflicting(SubmitJob submit, Map<Integer, FoundTask> found) {
		return found.values().stream().map(FoundTask::entry).anyMatch((entry) -> {
			int index = entry.task().index();
			return index >= submit.tasks().size() || entry.content() != hash(submit.tasks().get(index));
		});
	}

	private static long hash(TaskSpec spec) {
		return ContentHash.of(spec.path(), spec.payload());
	}

	// Whether a found task already keeps the job from becoming complete.
	private static boolean isDecided(Map<Integer, FoundTask> found) {
		return found.values()
			.stream()
			.anyMatch((task) -> task.guardLost() || task.entry().state() == LedgerState.FAILED
					|| task.entry().state() == LedgerState.CANCELLED
					|| (task.entry().state() == LedgerState.FINISHED && !task.entry().bodyHeld()));
	}

	private Optional<Refusal> admit(List<QueuedTask> queued, JobKey key, boolean whole) {
		if (queued.isEmpty()) {
			return Optional.empty();
		}
		boolean issued = new JobId(key.job()).issuedBy().isPresent();
		if (!issued && !this.lease.isHeld(key.owner())) {
			return Optional.of(UNCONFIRMED);
		}
		Admission admission = this.context.scheduler().offer(queued, this.context.now());
		return admission.admitted() ? Optional.empty()
				: Optional.of(new Refusal(whole ? Outcome.NOT_RUN : Outcome.UNDECIDED, admission.code(),
						admission.reason(), admission.retryAfterMillis()));
	}

	private void accept(Waiter waiter, JobRecord job, Map<Integer, FoundTask> found, boolean certain) {
		this.context.jobs().add(job);
		this.context.notice(NoticeKind.JOB_ACCEPTED, job.key().toString(),
				job.tasks().size() + " tasks, " + found.size() + " of them found in ledgers");
		// The former home aborts the other tasks of a job that fails, so a task that
		// failed
		// or was lost tells why the job failed, and an aborted one does not.
		List<FoundTask> joined = new ArrayList<>(found.values());
		joined.sort(Comparator.comparing((task) -> task.entry().state() == LedgerState.CANCELLED));
		this.takeOvers.found().remove(job.key());
		joined.forEach(
				(task) -> job.tasks().get(task.entry().task().index()).joined(task.guard(), task.entry().attempt()));
		boolean unknown = false;
		for (TaskRecord task : job.tasks()) {
			if (!certain && task.state() == TaskState.QUEUED) {
				task.ended(Outcome.OUTCOME_UNKNOWN, HOME_LOST);
				unknown = true;
			}
		}
		for (FoundTask task : joined) {
			LedgerEntry entry = task.entry();
			if (task.guardLost()) {
				this.tasks.lose(job, job.tasks().get(entry.task().index()), task.guard());
			}
			else if (entry.state() != LedgerState.STARTED) {
				this.tasks.ended(entry.task(), entry.state(), entry.body(), entry.bodyHeld());
			}
		}
		if (unknown) {
			this.tasks.fail(job, new Cause(Outcome.OUTCOME_UNKNOWN, ReplyCode.HOME_LOST, HOME_LOST));
		}
		attend(waiter, job);
	}

	private void attend(Waiter waiter, JobRecord job) {
		if (job.isFinished()) {
			this.claims.reply(waiter.requester(), job);
		}
		else if (waiter.untilNanos() <= this.context.now().nanos()) {
			this.context.reply(waiter.requester(), job.progress());
		}
		else {
			this.context.waiters().add(job.key(), waiter);
		}
	}

}
