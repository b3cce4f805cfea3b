package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.accept.ContentHash;
import io.coriandermux.core.accept.FailureCause;
import io.coriandermux.core.accept.JobIdAgeCheck;
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
import io.coriandermux.core.home.RecoveredTask;
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
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.table.Route;

/**
 * Handles requests for jobs whose home is this entry: accepts, joins, replays or refuses
 * a job.
 */
final class JobRequestHandler {

	private static final long RETRY_AFTER_MILLIS = 500;

	private static final String HOME_LOST = "the former home is gone, and not every guard that may have started the"
			+ " task has shown its ledger";

	private static final Refusal HOME_NOT_CONFIRMED = new Refusal(Outcome.UNDECIDED, ReplyCode.HOME_UNCONFIRMED,
			"no majority of the pool's guards confirms this entry as home", RETRY_AFTER_MILLIS);

	private final EntryContext context;

	private final HomeLease lease;

	private final TakeOverCoordinator takeOvers;

	private final HomeTableManager homes;

	private final TaskTracker tasks;

	private final OutcomeReporter outcomes;

	private final JobIdAgeCheck idCheck;

	JobRequestHandler(EntryContext context, HomeLease lease, TakeOverCoordinator takeOvers, HomeTableManager homes,
			TaskTracker tasks, OutcomeReporter outcomes) {
		this.context = context;
		this.lease = lease;
		this.takeOvers = takeOvers;
		this.homes = homes;
		this.tasks = tasks;
		this.outcomes = outcomes;
		this.idCheck = new JobIdAgeCheck(context.settings().retentionMillis());
	}

	// Returns false if the request has to wait for a take-over.
	boolean tryHandle(PendingRequest pendingRequest, JobKey key, Partition partition) {
		CallerRequest request = pendingRequest.request();
		Optional<JobRecord> known = this.context.jobs().find(key);
		if (known.isPresent()) {
			handleKnown(pendingRequest, request, known.get());
			return true;
		}
		Optional<TakeOver> takeOver = this.takeOvers.find(partition);
		if (takeOver.isPresent() && !takeOver.get().isPlacementAllowed()) {
			return false;
		}
		Map<Integer, RecoveredTask> recovered = this.takeOvers.recoveredTasks().tasksOf(key);
		if (!(request instanceof SubmitJob submit)) {
			refuseUnknown(pendingRequest, request, recovered);
			return true;
		}
		long createdAtMillis = JobIdAgeCheck.createdAtMillis(submit);
		boolean neverStarted = recovered.isEmpty() && (takeOver.isEmpty()
				|| this.takeOvers.isNewerThanTakeOver(key, takeOver.get(), partition, createdAtMillis));
		if (!neverStarted && !takeOver.map(TakeOver::hasCollectedLedgers).orElse(true)) {
			return false;
		}
		boolean allStartsKnown = neverStarted || takeOver.isEmpty()
				|| this.takeOvers.areAllStartsKnown(key, takeOver.get(), createdAtMillis);
		submit(pendingRequest, submit, key, partition, allStartsKnown);
		return true;
	}

	private void handleKnown(PendingRequest pendingRequest, CallerRequest request, JobRecord job) {
		if (request instanceof SubmitJob submit) {
			if (job.content() != ContentHash.of(submit.tasks())) {
				refuseConflict(pendingRequest);
				return;
			}
			this.context.publishNotice(NoticeKind.JOB_REPLAYED, job.key().toString(), "resubmitted");
		}
		replyOrWait(pendingRequest, job);
		if (request instanceof CancelJob && !job.isFinished()) {
			this.tasks.failJob(job,
					new FailureCause(Outcome.FAILED, ReplyCode.CANCELLED, "the owner cancelled the job"));
		}
	}

	private void refuseConflict(PendingRequest pendingRequest) {
		// Undecided, since tasks with the same content may have run under this id.
		this.context.refuse(pendingRequest.requester(), Outcome.UNDECIDED, ReplyCode.ID_CONFLICT,
				"the id was used for a job with other tasks", 0);
	}

	private void refuseUnknown(PendingRequest pendingRequest, CallerRequest request,
			Map<Integer, RecoveredTask> recovered) {
		if (recovered.isEmpty()) {
			this.context.refuse(pendingRequest.requester(), Outcome.UNDECIDED, ReplyCode.UNKNOWN_JOB,
					"no such job is known", 0);
			return;
		}
		if (request instanceof CancelJob) {
			recovered.values()
				.stream()
				.filter((task) -> task.entry().state() == LedgerState.STARTED && !task.guardLost())
				.forEach((task) -> this.context.send(task.guard(),
						CancelTask.abort(task.entry().task(), ReplyCode.CANCELLED)));
		}
		this.context.refuse(pendingRequest.requester(), Outcome.UNDECIDED, ReplyCode.HOME_LOST,
				"the former home of the job is gone; resubmit the job to join its tasks", RETRY_AFTER_MILLIS);
	}

	private void submit(PendingRequest pendingRequest, SubmitJob submit, JobKey key, Partition partition,
			boolean allStartsKnown) {
		Map<Integer, RecoveredTask> recovered = this.takeOvers.recoveredTasks().tasksOf(key);
		if (hasConflictingContent(submit, recovered)) {
			refuseConflict(pendingRequest);
			return;
		}
		if (!(recovered.isEmpty() && allStartsKnown) && !ensureCanJoin(pendingRequest)) {
			return;
		}
		Optional<Refusal> refusal = recovered.isEmpty() ? findRefusal(pendingRequest, submit) : Optional.empty();
		if (refusal.isPresent() && (allStartsKnown || refusal.get().outcome() != Outcome.NOT_RUN)) {
			this.outcomes.refuse(pendingRequest.requester(), submit.owner(), refusal.get());
			return;
		}
		long ageMillis = this.context.now().epochMillis() - JobIdAgeCheck.createdAtMillis(submit);
		long deadlineNanos = this.context.nanosAfter(submit.deadlineMillis() - ageMillis);
		List<TaskRecord> records = new ArrayList<>();
		for (TaskSpec spec : submit.tasks()) {
			TaskKey task = new TaskKey(key, records.size());
			Optional<Route> route = this.context.routes().find(submit.owner(), spec.path());
			if (route.isEmpty()) {
				this.outcomes.refuse(pendingRequest.requester(), submit.owner(),
						new Refusal((recovered.isEmpty() && allStartsKnown) ? Outcome.NOT_RUN : Outcome.UNDECIDED,
								ReplyCode.NO_ROUTE, "no route of the owner matches the path " + spec.path(), 0));
				return;
			}
			records.add(new TaskRecord(
					new QueuedTask(task, partition, route.get().name(), route.get().pool(), spec, deadlineNanos)));
		}
		JobRecord job = new JobRecord(key, new PartitionEpoch(partition, this.context.homes().epoch(partition)),
				ContentHash.of(submit.tasks()), deadlineNanos, records);
		Optional<Refusal> deferredRefusal = Optional.empty();
		if (allStartsKnown && !isCompletionImpossible(recovered)) {
			List<QueuedTask> queued = records.stream()
				.map(TaskRecord::task)
				.filter((task) -> !recovered.containsKey(task.task().index()))
				.toList();
			Optional<Refusal> admissionRefusal = admit(queued, key, recovered.isEmpty());
			if (admissionRefusal.isPresent()
					&& (recovered.isEmpty() || admissionRefusal.get().code() != ReplyCode.DEADLINE)) {
				this.outcomes.refuse(pendingRequest.requester(), submit.owner(), admissionRefusal.get());
				return;
			}
			deferredRefusal = admissionRefusal;
		}
		accept(pendingRequest, job, recovered, allStartsKnown);
		// Some tasks have run, so the job fails: submitting it again later cannot
		// complete it.
		deferredRefusal.ifPresent((failure) -> this.tasks.failJob(job,
				new FailureCause(Outcome.FAILED, failure.code(), failure.reason())));
	}

	// The refusal is undecided, since a previous home may have started tasks of the job.
	private boolean ensureCanJoin(PendingRequest pendingRequest) {
		boolean full = !this.context.jobs().hasCapacity();
		if (full || this.homes.isRefusedByShutdown(pendingRequest)) {
			this.context.refuse(pendingRequest.requester(), Outcome.UNDECIDED,
					full ? ReplyCode.ENTRY_FULL : ReplyCode.SHUTTING_DOWN, "the entry accepts no job now",
					RETRY_AFTER_MILLIS);
			return false;
		}
		return true;
	}

	private Optional<Refusal> findRefusal(PendingRequest pendingRequest, SubmitJob submit) {
		Optional<Refusal> idRefusal = this.idCheck.check(submit, this.context.now());
		if (idRefusal.isPresent()) {
			return idRefusal;
		}
		long ageMillis = this.context.now().epochMillis() - JobIdAgeCheck.createdAtMillis(submit);
		if (this.homes.isRefusedByShutdown(pendingRequest)) {
			return Optional.of(notRunRefusal(ReplyCode.SHUTTING_DOWN, "the entry shuts down", RETRY_AFTER_MILLIS));
		}
		if (!this.context.jobs().hasCapacity()) {
			return Optional
				.of(notRunRefusal(ReplyCode.ENTRY_FULL, "the entry holds its maximum of jobs", RETRY_AFTER_MILLIS));
		}
		return (ageMillis >= submit.deadlineMillis())
				? Optional.of(notRunRefusal(ReplyCode.DEADLINE, "the deadline has passed", 0)) : Optional.empty();
	}

	private static Refusal notRunRefusal(ReplyCode code, String reason, long retryAfterMillis) {
		return new Refusal(Outcome.NOT_RUN, code, reason, retryAfterMillis);
	}

	private static boolean hasConflictingContent(SubmitJob submit, Map<Integer, RecoveredTask> recovered) {
		return recovered.values().stream().map(RecoveredTask::entry).anyMatch((entry) -> {
			int index = entry.task().index();
			return index >= submit.tasks().size() || entry.contentHash() != hash(submit.tasks().get(index));
		});
	}

	private static long hash(TaskSpec spec) {
		return ContentHash.of(spec.path(), spec.payload());
	}

	// Whether a recovered task was lost, has failed or has no answer left, so that the
	// job cannot become complete.
	private static boolean isCompletionImpossible(Map<Integer, RecoveredTask> recovered) {
		return recovered.values()
			.stream()
			.anyMatch((task) -> task.guardLost() || task.entry().state() == LedgerState.FAILED
					|| task.entry().state() == LedgerState.CANCELLED
					|| (task.entry().state() == LedgerState.FINISHED && !task.entry().bodyComplete()));
	}

	private Optional<Refusal> admit(List<QueuedTask> queued, JobKey key, boolean noTaskFound) {
		if (queued.isEmpty()) {
			return Optional.empty();
		}
		boolean issued = new JobId(key.job()).partitionEpoch().isPresent();
		if (!issued && !this.lease.isHeld(key.owner())) {
			return Optional.of(HOME_NOT_CONFIRMED);
		}
		Admission admission = this.context.scheduler().offer(queued, this.context.now());
		return admission.admitted() ? Optional.empty()
				: Optional.of(new Refusal(noTaskFound ? Outcome.NOT_RUN : Outcome.UNDECIDED, admission.code(),
						admission.reason(), admission.retryAfterMillis()));
	}

	private void accept(PendingRequest pendingRequest, JobRecord job, Map<Integer, RecoveredTask> recovered,
			boolean allStartsKnown) {
		this.context.jobs().add(job);
		this.context.publishNotice(NoticeKind.JOB_ACCEPTED, job.key().toString(),
				job.tasks().size() + " tasks, " + recovered.size() + " of them found in ledgers");
		// The previous home aborts the remaining tasks of a failed job. The cause of the
		// failure is therefore a failed or lost task, so aborted tasks are handled last.
		List<RecoveredTask> joined = new ArrayList<>(recovered.values());
		joined.sort(Comparator.comparing((task) -> task.entry().state() == LedgerState.CANCELLED));
		this.takeOvers.recoveredTasks().remove(job.key());
		joined.forEach((task) -> job.tasks()
			.get(task.entry().task().index())
			.markRecovered(task.guard(), task.entry().attempt()));
		boolean anyUnknown = false;
		for (TaskRecord task : job.tasks()) {
			if (!allStartsKnown && task.state() == TaskState.QUEUED) {
				task.markEnded(Outcome.OUTCOME_UNKNOWN, HOME_LOST);
				anyUnknown = true;
			}
		}
		for (RecoveredTask task : joined) {
			LedgerEntry entry = task.entry();
			if (task.guardLost()) {
				this.tasks.loseTask(job, job.tasks().get(entry.task().index()), task.guard());
			}
			else if (entry.state() != LedgerState.STARTED) {
				this.tasks.endTask(entry.task(), entry.state(), entry.body(), entry.bodyComplete());
			}
		}
		if (anyUnknown) {
			this.tasks.failJob(job, new FailureCause(Outcome.OUTCOME_UNKNOWN, ReplyCode.HOME_LOST, HOME_LOST));
		}
		replyOrWait(pendingRequest, job);
	}

	private void replyOrWait(PendingRequest pendingRequest, JobRecord job) {
		if (job.isFinished()) {
			this.outcomes.reply(pendingRequest.requester(), job);
		}
		else if (pendingRequest.outcomeDeadlineNanos() <= this.context.now().nanos()) {
			this.context.reply(pendingRequest.requester(), job.progress());
		}
		else {
			this.context.pendingRequests().add(job.key(), pendingRequest);
		}
	}

}
