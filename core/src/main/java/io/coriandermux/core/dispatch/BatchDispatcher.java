package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.HeldBatch;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;

/**
 * Accepts the batches of an entry, places their tasks and answers their callers. A task
 * is started again only after its earlier run has certainly ended, and a batch is refused
 * as not run only if none of its runs was ever sent to a guard.
 */
public final class BatchDispatcher {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Delay before the next start order to an endpoint that cannot run tasks now. */
	private static final long UNAVAILABLE_BACKOFF_NANOS = 300 * NANOS_PER_MILLI;

	/**
	 * Delay after a run that was not started. Without it, start orders to a guard whose
	 * endpoint refuses connections are repeated in a tight loop.
	 */
	private static final long NOT_STARTED_BACKOFF_NANOS = 50 * NANOS_PER_MILLI;

	/**
	 * A start order that was not answered may be carried out 12 s later, and its lease
	 * lasts up to 1 s. If the guard does not return before, the run has ended by then.
	 */
	private static final long LATE_START_END_NANOS = 14_000 * NANOS_PER_MILLI;

	private static final long RETRY_AFTER_MILLIS = 1000;

	/**
	 * A caller returns 1.3 s after it has given up, and the age of a request is known to
	 * 0.3 s. A request for a batch that was claimed a shorter time ago was held up on its
	 * way, or the other one was.
	 */
	private static final long MIN_RETURN_MILLIS = 900;

	private static final BatchAnswer CANCELLED = BatchAnswer.of(BatchVerdict.CANCELLED,
			"the caller cancelled the batch");

	private final EntryIncarnation self;

	private final DispatchSettings settings;

	private final CallerChannel callers;

	private final GuardChannel guards;

	private final DispatchNotices notices;

	private final EndpointTable endpoints;

	private final BatchRunTimes runTimes = new BatchRunTimes();

	private final Map<BatchId, Batch> batches = new LinkedHashMap<>();

	private final BatchPlacer placer;

	private final CancelledBatches cancelled = new CancelledBatches();

	private final Map<CallerRef, Batch> byCaller = new LinkedHashMap<>();

	private final BatchHandover handover;

	private final BatchClaims claims;

	private final BatchTimesCalculator timesCalculator;

	private final DispatchShutdown shutdown;

	private final long startedNanos;

	private BatchRouteTable routeTable;

	private long lastSequence;

	private boolean placementDue;

	/** Batches whose claim was granted since tasks were placed the last time. */
	private final List<Batch> newlyGranted = new ArrayList<>();

	/**
	 * Creates the dispatcher of an entry without configuration and guards.
	 * @param self the entry
	 * @param settings timeouts and time allowances
	 * @param remoteFactor run time on a remote rack as a multiple of that on the rack of
	 * the data
	 * @param channels receivers of answers, messages and notices
	 * @param now the current time
	 */
	public BatchDispatcher(EntryIncarnation self, DispatchSettings settings, double remoteFactor,
			DispatchChannels channels, Moment now) {
		this.self = self;
		this.settings = settings;
		this.startedNanos = now.nanos();
		this.endpoints = new EndpointTable(remoteFactor, new EndpointPreference(self.entry()));
		this.callers = channels.callers();
		this.guards = channels.guards();
		this.notices = new DispatchNotices(channels.notices());
		this.timesCalculator = new BatchTimesCalculator(settings, this.endpoints, this.runTimes);
		this.shutdown = new DispatchShutdown(settings);
		this.handover = new BatchHandover(channels, this::isHeldHere);
		this.claims = new BatchClaims(self, channels, new ClaimResults(), now);
		this.placer = new BatchPlacer(this.endpoints, this.guards, channels.notices(),
				(batch, time) -> this.claims.isGranted(batch.id()) && isWithinTime(batch, time));
	}

	/**
	 * Applies a configuration if its version is higher than the current one.
	 * @param newRouteTable the routes of the configuration
	 * @return whether it was applied
	 */
	public boolean applyRoutes(BatchRouteTable newRouteTable) {
		if (this.routeTable != null && newRouteTable.version() <= this.routeTable.version()) {
			return false;
		}
		this.routeTable = newRouteTable;
		this.notices.send(NoticeKind.TABLES_IN_FORCE, "version " + newRouteTable.version(),
				newRouteTable.size() + " routes");
		return true;
	}

	/**
	 * Checks whether a configuration was applied.
	 * @return whether one was applied
	 */
	public boolean isConfigured() {
		return this.routeTable != null;
	}

	/**
	 * Handles a request to run a batch. It is answered when the batch has ended, is
	 * refused or exceeds its deadline. A repeated request for a batch in progress
	 * receives the same answer.
	 * @param caller the caller
	 * @param host host of the request
	 * @param path path of the request
	 * @param request the request
	 * @param now the current time
	 */
	public void submit(CallerRef caller, String host, String path, BatchRequest request, Moment now) {
		submit(new CallerRequest(caller, host, path, request, now.nanos(), false, Optional.empty()), now);
	}

	private void submit(CallerRequest request, Moment now) {
		if (this.routeTable == null) {
			refuse(request, BatchVerdict.UNAVAILABLE, "no configuration is in force yet", RETRY_AFTER_MILLIS);
			return;
		}
		Optional<BatchRoute> route = this.routeTable.find(request.host(), request.path());
		if (route.isEmpty()) {
			refuse(request, BatchVerdict.NO_ROUTE,
					"version " + this.routeTable.version() + " has no route for " + request.host() + request.path(), 0);
			return;
		}
		if (request.request().unsupported().isPresent()) {
			refuse(request, BatchVerdict.UNAVAILABLE, request.request().unsupported().get(), 0);
			return;
		}
		if (this.cancelled.contains(request.id())) {
			this.notices.send(NoticeKind.BATCH_REFUSED, request.id().value(), "the caller cancelled the batch before");
			this.callers.answer(request.caller(), CANCELLED);
			return;
		}
		Batch known = this.batches.get(request.id());
		if (known != null && !known.isAnswered()) {
			known.addRequest(request);
			this.byCaller.put(request.caller(), known);
			this.notices.send(NoticeKind.BATCH_RESUBMITTED, request.id().value(),
					"in progress for " + ageMillis(known, now) + " ms, " + DispatchNotices.describePlacedRuns(known));
			return;
		}
		if (known != null) {
			this.notices.send(NoticeKind.BATCH_RESUBMITTED, request.id().value(), "answered but not ended, accepted "
					+ ageMillis(known, now) + " ms ago, " + DispatchNotices.describePlacedRuns(known));
			this.handover.defer(request);
			return;
		}
		if (now.nanos() >= this.timesCalculator.replyDeadlineNanos(request)) {
			refuse(request, BatchVerdict.UNAVAILABLE, "sent up to " + request.ageMillis(now)
					+ " ms ago, its caller waits " + request.request().waitMillis() + " ms", RETRY_AFTER_MILLIS);
			return;
		}
		if (this.handover.isHeldElsewhere(request.id())) {
			this.handover.defer(request);
			return;
		}
		if (!this.claims.isInUse() && !this.handover.mayStart(request, now)) {
			refuse(request, BatchVerdict.UNAVAILABLE,
					"sent up to " + request.ageMillis(now) + " ms ago, another entry may have the batch",
					RETRY_AFTER_MILLIS);
			return;
		}
		long expectedNanos = this.runTimes.estimate(route.get(), request.request().tasks()).expectedNanos();
		if (!this.shutdown.accepts(expectedNanos, now)) {
			refuse(request, BatchVerdict.UNAVAILABLE, "the entry ends in " + this.shutdown.remainingMillis(now) + " ms",
					RETRY_AFTER_MILLIS);
			return;
		}
		accept(request, route.get(), now);
	}

	private void accept(CallerRequest accepted, BatchRoute route, Moment now) {
		BatchRequest request = accepted.request();
		TaskGroup group = request.tasks();
		boolean warmingUp = now.nanos() - this.startedNanos < this.settings.warmUpMillis() * NANOS_PER_MILLI;
		if (!warmingUp && this.endpoints.inPool(route.pool()).isEmpty()) {
			refuse(accepted, BatchVerdict.UNAVAILABLE, "pool " + route.pool() + " has no known endpoint",
					RETRY_AFTER_MILLIS);
			return;
		}
		if (!warmingUp && !this.endpoints.canEverRun(route.pool(), group)) {
			refuse(accepted, BatchVerdict.UNAVAILABLE,
					"no endpoint of pool " + route.pool() + " can hold a task that needs " + group.needs(), 0);
			return;
		}
		this.lastSequence++;
		Batch batch = new Batch(request, route, this.lastSequence, this.timesCalculator.compute(route, accepted, now));
		if (accepted.mayHaveRun() || this.claims.isTakingOver(batch.id())) {
			batch.markStarted();
		}
		batch.addRequest(accepted);
		this.byCaller.put(accepted.caller(), batch);
		this.batches.put(batch.id(), batch);
		this.placer.add(batch);
		this.notices.send(NoticeKind.BATCH_ACCEPTED, batch.id().value(),
				"route " + route.name() + " of version " + this.routeTable.version() + ", " + group.count()
						+ " tasks of " + group.needs().millicores() + " millicores, declared " + group.declaredMillis()
						+ " ms, expected " + batch.expectedNanos() / NANOS_PER_MILLI + " ms, latest start in "
						+ (batch.latestStartNanos() - now.nanos()) / NANOS_PER_MILLI + " ms, caller waits "
						+ request.waitMillis() + " ms, sent up to " + accepted.ageMillis(now) + " ms ago");
		this.claims.begin(batch.id(), request.waitMillis(), accepted.released(), now);
		place(now);
	}

	// A batch counts as queued work only after its claim, because most are placed at once
	// then.
	private void place(Moment now) {
		this.placer.place(now);
		List<Batch> granted = new ArrayList<>(this.newlyGranted);
		this.newlyGranted.clear();
		granted.stream().filter((batch) -> !batch.isAnswered()).forEach((batch) -> refuseIfTooLate(batch, now));
	}

	// Refuses a batch at once if the queued work ahead of it delays its start too long.
	// The caller can then use another entry.
	private void refuseIfTooLate(Batch batch, Moment now) {
		if (batch.isStarted()) {
			return;
		}
		double waitMillis = this.placer.predictWaitMillis(batch);
		if (now.nanos() + waitMillis * NANOS_PER_MILLI > batch.latestStartNanos()) {
			long retryAfter = Math.max(RETRY_AFTER_MILLIS, (long) this.placer.predictWaitMillis(null));
			answer(batch, new BatchAnswer(BatchVerdict.OVERLOADED,
					"the work before it takes " + (long) waitMillis + " ms, of which "
							+ (batch.latestStartNanos() - now.nanos()) / NANOS_PER_MILLI + " ms are left",
					retryAfter), now);
		}
	}

	/**
	 * Removes a disconnected caller. A batch without callers is stopped.
	 * @param caller the caller
	 * @param now the current time
	 */
	public void onCallerDisconnected(CallerRef caller, Moment now) {
		Batch batch = this.byCaller.remove(caller);
		if (batch == null) {
			this.handover.waiting().remove(caller);
			return;
		}
		batch.callers().remove(caller);
		if (batch.callers().isEmpty() && !batch.isAnswered()) {
			this.notices.send(NoticeKind.BATCH_ABANDONED, batch.id().value(),
					"the caller disconnected after " + ageMillis(batch, now) + " ms");
			close(batch, "the caller disconnected", now);
			removeIfEnded(batch, now);
			this.placer.place(now);
		}
	}

	/**
	 * Cancels a batch. Later requests for it are answered as cancelled.
	 * @param id the batch
	 * @param now the current time
	 * @return {@code CANCELLED}, or {@code UNKNOWN} if the batch is neither in progress
	 * nor was cancelled before
	 */
	public BatchVerdict cancel(BatchId id, Moment now) {
		List<CallerRequest> waiting = this.handover.waiting().removeAll(id);
		waiting.forEach((request) -> this.callers.answer(request.caller(), CANCELLED));
		Batch batch = this.batches.get(id);
		boolean inProgress = batch != null && !batch.isAnswered();
		if (inProgress || !waiting.isEmpty()) {
			this.cancelled.add(id, now.nanos());
		}
		if (!inProgress) {
			return this.cancelled.contains(id) ? BatchVerdict.CANCELLED : BatchVerdict.UNKNOWN;
		}
		answer(batch, CANCELLED, now);
		this.placer.place(now);
		return BatchVerdict.CANCELLED;
	}

	/**
	 * Returns the state of a batch.
	 * @param id the batch
	 * @return {@code RUNNING}, {@code QUEUED}, {@code CANCELLED}, or {@code UNKNOWN} if
	 * the batch is neither in progress nor was cancelled
	 */
	public BatchVerdict state(BatchId id) {
		if (this.cancelled.contains(id)) {
			return BatchVerdict.CANCELLED;
		}
		Batch batch = this.batches.get(id);
		if (batch == null || batch.isAnswered()) {
			return this.handover.waiting().contains(id) ? BatchVerdict.RUNNING : BatchVerdict.UNKNOWN;
		}
		return batch.isStarted() ? BatchVerdict.RUNNING : BatchVerdict.QUEUED;
	}

	/**
	 * Counts the batches of a route of which no run was sent to a guard.
	 * @param host host of the request
	 * @param path path of the request
	 * @return the number, empty if no route matches the request
	 */
	public Optional<Integer> countUnstarted(String host, String path) {
		if (this.routeTable == null) {
			return Optional.empty();
		}
		return this.routeTable.find(host, path).map(this.placer::unstartedCount);
	}

	/**
	 * Handles a change of the listed guards. Batches are claimed at them before their
	 * first run.
	 * @param listed the listed guards that know the messages of claims
	 * @param now the current time
	 */
	public void onGuardsListed(Set<GuardId> listed, Moment now) {
		this.claims.onGuardsListed(listed, now);
	}

	/**
	 * Handles a change of the listed entries. They are asked about a batch if most of the
	 * guards that keep its claims don't answer.
	 * @param listed the other entries
	 * @param now the current time
	 */
	public void onEntriesListed(Set<EntryId> listed, Moment now) {
		this.claims.onEntriesListed(listed, now);
	}

	/**
	 * Handles a new link to a guard: sends it the runs that this entry holds there and
	 * requests to stop those that are no longer needed.
	 * @param guard the guard
	 * @param incarnation its incarnation
	 */
	public void onGuardConnected(GuardId guard, Incarnation incarnation) {
		boolean sameIncarnation = this.endpoints.find(guard)
			.filter((known) -> known.incarnation().equals(incarnation))
			.isPresent();
		this.endpoints.connect(guard, incarnation);
		this.claims.onGuardConnected(guard);
		List<BatchTask> running = this.placer.placedTasksAt(guard);
		if (sameIncarnation) {
			// The guard reports the state of each of these runs, and some may still be
			// running.
			running.forEach(BatchTask::clearCertainEnd);
		}
		this.notices.onRunsListed(guard, incarnation, running);
		List<RunId> heldRuns = running.stream().map(BatchTask::run).toList();
		this.guards.send(guard, new HeldRuns(heldRuns));
		// The request to stop these runs may have been lost with the previous link.
		running.stream()
			.filter((task) -> task.batch.isAnswered())
			.forEach((task) -> this.guards.send(guard, new StopRun(task.run())));
	}

	/**
	 * Handles the loss of a guard. Its runs stay unconfirmed until they have certainly
	 * ended.
	 * @param guard the guard
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void onGuardLost(GuardId guard, Incarnation incarnation, Moment now) {
		Optional<PooledEndpoint> endpoint = this.endpoints.find(guard)
			.filter((known) -> known.incarnation().equals(incarnation));
		if (endpoint.isEmpty()) {
			return;
		}
		endpoint.get().setConnected(false);
		this.claims.onGuardLost(guard, now);
		long certainEndNanos = endpoint.get().certainEndNanos(this.settings, now.nanos());
		List<BatchTask> unconfirmed = this.placer.placedTasksAt(guard);
		unconfirmed.forEach((task) -> task.onGuardLost(endpoint.get(), certainEndNanos,
				Math.max(certainEndNanos, now.nanos() + LATE_START_END_NANOS)));
		if (!unconfirmed.isEmpty()) {
			this.notices.send(NoticeKind.RUNS_UNKNOWN, guard.value(),
					unconfirmed.size() + " unconfirmed runs, considered ended in "
							+ (certainEndNanos - now.nanos()) / NANOS_PER_MILLI + " ms");
		}
	}

	/**
	 * Handles a new link to another entry that hands batches over.
	 * @param entry the entry
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void onEntryConnected(EntryId entry, Incarnation incarnation, Moment now) {
		this.handover.onConnected(new EntryIncarnation(entry, incarnation), now);
		this.claims.onEntryConnected(entry);
	}

	/**
	 * Handles the loss of another entry.
	 * @param entry the entry
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void onEntryLost(EntryId entry, Incarnation incarnation, Moment now) {
		this.handover.onLost(new EntryIncarnation(entry, incarnation), now);
		this.claims.onEntryLost(entry, now);
	}

	/**
	 * Handles a message of another entry.
	 * @param entry the sender
	 * @param incarnation its incarnation
	 * @param message the message
	 * @param now the current time
	 */
	public void onEntryMessage(EntryId entry, Incarnation incarnation, Message message, Moment now) {
		if (message instanceof HeldBatches announcement) {
			this.handover.onHeldBatches(new EntryIncarnation(entry, incarnation), announcement);
			announcement.held().forEach((held) -> resolveConflict(entry, held, now));
			serveReadyRequests(now);
		}
		else if (message instanceof ReleaseBatch release) {
			releaseBatch(entry, release.batch(), now);
		}
		else if (message instanceof ClaimBatch claim) {
			this.claims.onClaim(new EntryIncarnation(entry, incarnation), claim, now);
		}
		else if (message instanceof ClaimAnswer answer) {
			this.claims.onPeerAnswer(entry, answer, now);
		}
	}

	// Two entries may accept a batch before either knows of the other. The caller has
	// submitted it to the older one first, so it waits at the other one, if at all. The
	// older one learns of the younger batch only with its first announcement, so it is
	// told.
	private void resolveConflict(EntryId entry, HeldBatch held, Moment now) {
		Batch batch = this.batches.get(held.batch());
		if (batch == null || batch.isAnswered()) {
			return;
		}
		long ageMillis = (now.nanos() - batch.sentNanos()) / NANOS_PER_MILLI;
		this.notices.send(NoticeKind.BATCH_HELD_TWICE, held.batch().value(),
				"announced by " + entry + " with age " + held.ageMillis() + " ms, age here " + ageMillis + " ms");
		if (ageMillis > held.ageMillis()) {
			releaseBatch(entry, held.batch(), now);
		}
		else if (ageMillis < held.ageMillis()) {
			this.handover.requestRelease(entry, held.batch());
		}
	}

	private void releaseBatch(EntryId entry, BatchId id, Moment now) {
		String reason = "the caller has submitted the batch to entry " + entry;
		this.handover.waiting().removeAll(id).forEach((request) -> answerUnfinished(request, reason, now));
		Batch batch = this.batches.get(id);
		if (batch != null) {
			this.notices.send(NoticeKind.BATCH_RELEASED, id.value(), "requested by " + entry + ", accepted "
					+ ageMillis(batch, now) + " ms ago, " + DispatchNotices.describePlacedRuns(batch));
		}
		if (batch != null && !batch.isAnswered()) {
			answer(batch, BatchAnswer.of(BatchVerdict.UNFINISHED, reason), now);
			this.placer.place(now);
		}
		this.handover.onReleaseRequested(entry, id);
	}

	/**
	 * Handles a message of a guard.
	 * @param guard the sender
	 * @param incarnation its incarnation
	 * @param message the message
	 * @param now the current time
	 */
	public void onMessage(GuardId guard, Incarnation incarnation, Message message, Moment now) {
		Optional<PooledEndpoint> endpoint = this.endpoints.find(guard)
			.filter((known) -> known.incarnation().equals(incarnation));
		if (endpoint.isEmpty()) {
			return;
		}
		if (message instanceof SessionPing ping) {
			endpoint.get().onSessionConfirmed(now.nanos());
			this.guards.send(guard, new SessionPong(ping.clockNanos()));
		}
		else if (message instanceof EndpointChanged changed) {
			onEndpointChanged(endpoint.get(), changed, now);
		}
		else if (message instanceof RunEnded ended) {
			onRunEnded(endpoint.get(), ended, now);
		}
		else if (message instanceof ClaimAnswer answer) {
			this.claims.onAnswer(guard, answer, now);
		}
		else if (message instanceof TakeOverAnswer answer) {
			this.claims.onAnswer(guard, answer, now);
		}
	}

	/**
	 * Places waiting tasks if endpoint loads have changed or runs have ended since the
	 * last call. To be called once after several messages were processed, because
	 * choosing an endpoint takes longer than processing a message.
	 * @param now the current time
	 */
	public void placeIfDue(Moment now) {
		if (this.placementDue) {
			this.placementDue = false;
			place(now);
		}
	}

	private void onEndpointChanged(PooledEndpoint endpoint, EndpointChanged changed, Moment now) {
		boolean acceptingChanged = endpoint.load() == null || endpoint.load().accepting() != changed.load().accepting();
		endpoint.updateLoad(changed.load(), changed.order(), now.nanos());
		if (acceptingChanged) {
			this.notices.send(NoticeKind.ENDPOINT_KNOWN, endpoint.guard().value(),
					"accepting " + changed.load().accepting() + ", free " + changed.load().free() + " of "
							+ changed.load().capacity() + ", labels " + changed.load().labels());
		}
		this.placementDue = true;
	}

	private void onRunEnded(PooledEndpoint endpoint, RunEnded ended, Moment now) {
		Optional<BatchTask> found = this.placer.removeRun(ended.run(), endpoint.guard());
		this.notices.send(NoticeKind.RUN_END_RECEIVED, ended.run().toString(),
				ended.outcome() + " from " + endpoint.guard() + (found.isEmpty() ? ", ignored: not placed there" : ""));
		if (found.isEmpty()) {
			return;
		}
		BatchTask task = found.get();
		Batch batch = task.batch;
		switch (ended.outcome()) {
			case DONE -> {
				task.markDone(endpoint, ended.runMillis() * NANOS_PER_MILLI);
				this.runTimes.onTaskDone(task);
				this.endpoints.recordOutcome(endpoint, true, now.nanos());
				if (batch.onTaskDone()) {
					this.runTimes.onAllTasksDone(batch);
					if (!batch.isAnswered()) {
						answer(batch, BatchAnswer.of(BatchVerdict.COMPLETED, ""), now);
					}
				}
			}
			case FAILED -> {
				this.endpoints.recordOutcome(endpoint, false, now.nanos());
				task.recordFailure();
				if (task.failures() >= batch.route().maxAttempts() && !batch.isAnswered()) {
					answer(batch, BatchAnswer.of(BatchVerdict.FAILED, "task " + task.index + " failed "
							+ task.failures() + " times, last at " + endpoint.guard()), now);
				}
				retry(task, ended, now);
			}
			case INVALID -> {
				if (!batch.isAnswered()) {
					answer(batch, BatchAnswer.of(BatchVerdict.FAILED,
							"endpoint " + endpoint.guard() + " cannot run task " + task.index), now);
				}
				retry(task, ended, now);
			}
			case STALLED -> {
				this.endpoints.recordOutcome(endpoint, false, now.nanos());
				retry(task, ended, now);
			}
			case UNHEALTHY, ENDPOINT_LOST, LAPSED -> {
				endpoint.backOffUntil(now.nanos() + UNAVAILABLE_BACKOFF_NANOS);
				retry(task, ended, now);
			}
			case CLAIMED -> {
				retry(task, ended, now);
				giveUp(batch, "guard " + endpoint.guard() + " has a claim of another entry", now);
			}
			case NOT_STARTED -> {
				endpoint.backOffUntil(now.nanos() + NOT_STARTED_BACKOFF_NANOS);
				retry(task, ended, now);
			}
			default -> retry(task, ended, now);
		}
		removeIfEnded(batch, now);
		this.placementDue = true;
	}

	private void retry(BatchTask task, RunEnded ended, Moment now) {
		this.placer.requeue(task);
		if (task.batch.isAnswered()) {
			return;
		}
		this.notices.send(NoticeKind.TASK_RETRIED, ended.run().toString(), ended.outcome() + " at "
				+ describeGuard(task) + " after " + (now.nanos() - task.placedNanos()) / NANOS_PER_MILLI + " ms");
	}

	private static String describeGuard(BatchTask task) {
		return task.guard() + " incarnation " + task.guardIncarnation().value();
	}

	/**
	 * Handles expired deadlines and places waiting tasks. To be called about every 20 ms,
	 * less often when idle.
	 * @param now the current time
	 */
	public void tick(Moment now) {
		for (BatchTask task : this.placer.placedTasks()) {
			if (task.certainEndNanos() != 0 && now.nanos() >= task.certainEndNanos()) {
				this.notices.send(NoticeKind.TASK_RETRIED, task.run().toString(),
						"guard " + describeGuard(task) + " is lost, the run has ended, certainly "
								+ (task.certainEndNanos() - task.placedNanos()) / NANOS_PER_MILLI
								+ " ms after it was placed, " + (now.nanos() - task.certainEndNanos()) / NANOS_PER_MILLI
								+ " ms ago");
				this.notices.send(NoticeKind.RUN_RELEASED, task.run().toString(), "guard " + task.guard()
						+ " is lost, placed " + (now.nanos() - task.placedNanos()) / NANOS_PER_MILLI + " ms ago");
				this.placer.removeRun(task.run(), task.guard());
				this.placer.requeue(task);
				removeIfEnded(task.batch, now);
			}
		}
		for (Batch batch : new ArrayList<>(this.batches.values())) {
			if (!batch.isAnswered()) {
				checkDeadlines(batch, now);
			}
		}
		this.handover.waiting()
			.removeIf((request) -> now.nanos() >= this.timesCalculator.replyDeadlineNanos(request))
			.forEach((request) -> answerUnfinished(request, "runs of an earlier request have not ended", now));
		this.claims.tick(now);
		this.handover.tick(this::sentNanosByBatch, now);
		serveReadyRequests(now);
		place(now);
	}

	// Without claims, other entries know of a batch only if it was announced in time.
	private boolean isWithinTime(Batch batch, Moment now) {
		return this.claims.isInUse() || this.handover.mayStart(batch, now);
	}

	private void checkDeadlines(Batch batch, Moment now) {
		if (batch.hasWaitingTask() && !isWithinTime(batch, now)) {
			answer(batch,
					unfinishedOrUnavailable(batch, "another entry may have the batch, which was not announced in time"),
					now);
		}
		else if (!batch.isStarted() && isTooLate(batch, now)) {
			answer(batch, new BatchAnswer(BatchVerdict.OVERLOADED,
					"no endpoint had room within " + ageMillis(batch, now) + " ms", RETRY_AFTER_MILLIS), now);
		}
		else if (now.nanos() >= batch.deadlineNanos()) {
			answer(batch, BatchAnswer.of(BatchVerdict.UNFINISHED, "not done when the caller's wait ended"), now);
		}
	}

	/**
	 * Begins to shut down. Batches in progress continue, and new ones are accepted if
	 * they are expected to end in time, because callers use open connections until they
	 * are closed, and a load balancer keeps opening connections if this entry is the only
	 * one of its zone.
	 * @param limitMillis time until the process ends unconditionally, in milliseconds
	 * @param now the current time
	 */
	public void beginShutdown(long limitMillis, Moment now) {
		this.shutdown.begin(limitMillis, now);
	}

	/**
	 * Answers all unfinished batches and stops their runs because the entry shuts down.
	 * @param now the current time
	 */
	public void abortBatches(Moment now) {
		this.shutdown.close();
		this.handover.waiting().removeAll().forEach((request) -> answerUnfinished(request, "the entry ends", now));
		new ArrayList<>(this.batches.values()).stream()
			.filter((batch) -> !batch.isAnswered())
			.forEach((batch) -> answer(batch, unfinishedOrUnavailable(batch, "the entry ends"), now));
	}

	private static BatchAnswer unfinishedOrUnavailable(Batch batch, String reason) {
		return batch.isStarted() ? BatchAnswer.of(BatchVerdict.UNFINISHED, reason)
				: new BatchAnswer(BatchVerdict.UNAVAILABLE, reason, RETRY_AFTER_MILLIS);
	}

	/**
	 * Finishes the shutdown if callers had time to disconnect and no batch is in
	 * progress. After that no batch is accepted, because the process closes its ports.
	 * @param now the current time
	 * @return whether the shutdown is finished
	 */
	public boolean closeIfIdle(Moment now) {
		return this.shutdown.closeIfIdle(
				this.handover.waiting().isEmpty() && this.batches.values().stream().allMatch(Batch::isAnswered), now);
	}

	/**
	 * Returns the dispatch state for operators.
	 * @param now the current time
	 * @return the state
	 */
	public DispatchStatus status(Moment now) {
		int accepting = (int) this.endpoints.all().stream().filter((endpoint) -> endpoint.accepts(now.nanos())).count();
		return new DispatchStatus((this.routeTable != null) ? this.routeTable.version() : 0,
				(this.routeTable != null) ? this.routeTable.size() : 0, this.endpoints.all().size(), accepting,
				this.batches.size(), this.placer.waitingCount());
	}

	// While no endpoint of the pool accepts runs, a late answer is better than a refusal.
	// As soon as one does, a batch that cannot meet its objective is refused in favor of
	// batches that can.
	private boolean isTooLate(Batch batch, Moment now) {
		if (now.nanos() < batch.latestStartNanos()) {
			return false;
		}
		return now.nanos() >= batch.lastUsefulStartNanos()
				|| this.endpoints.hasAcceptingEndpoint(batch.route().pool(), now.nanos());
	}

	private void answer(Batch batch, BatchAnswer decided, Moment now) {
		BatchAnswer answer = withoutFalseRefusal(batch, decided);
		this.notices.send(NoticeKind.BATCH_ENDED, batch.id().value(), answer.verdict() + " after "
				+ ageMillis(batch, now) + " ms" + (answer.reason().isEmpty() ? "" : ": " + answer.reason()));
		batch.callers().forEach((caller) -> {
			this.byCaller.remove(caller);
			this.callers.answer(caller, answer);
		});
		batch.callers().clear();
		close(batch, "the batch is answered " + answer.verdict(), now);
		removeIfEnded(batch, now);
	}

	// Marks the batch as answered and stops its runs.
	private void close(Batch batch, String cause, Moment now) {
		batch.markAnswered();
		this.placer.remove(batch);
		batch.tasks()
			.stream()
			.filter((task) -> task.state() == BatchTask.State.PLACED)
			.forEach((task) -> requestStop(task, cause, now));
	}

	private void requestStop(BatchTask task, String cause, Moment now) {
		this.notices.send(NoticeKind.STOP_REQUESTED, task.run().toString(), cause + ", run at " + task.guard()
				+ " placed " + (now.nanos() - task.placedNanos()) / NANOS_PER_MILLI + " ms ago");
		this.guards.send(task.guard(), new StopRun(task.run()));
	}

	private void removeIfEnded(Batch batch, Moment now) {
		if (!batch.isAnswered() || batch.hasPlacedTask()) {
			return;
		}
		this.batches.remove(batch.id());
		this.claims.onEnded(batch.id());
		serveReadyRequests(now);
		this.handover.confirmEnd(batch.id());
	}

	private void serveReadyRequests(Moment now) {
		this.handover.removeReady().forEach((request) -> submit(request, now));
	}

	private Map<BatchId, Long> sentNanosByBatch() {
		Map<BatchId, Long> times = new LinkedHashMap<>();
		this.batches.forEach((id, batch) -> times.put(id, batch.sentNanos()));
		return times;
	}

	private void refuse(CallerRequest request, BatchVerdict verdict, String reason, long retryAfterMillis) {
		this.notices.send(NoticeKind.BATCH_REFUSED, request.id().value(), verdict + ": " + reason);
		BatchAnswer answer = new BatchAnswer(verdict, reason, retryAfterMillis);
		this.callers.answer(request.caller(), request.mayHaveRun() ? BatchAnswer.of(BatchVerdict.UNFINISHED, reason)
				: withoutFalseRefusal(request.id(), answer));
	}

	// Without the answers to its claim it is not known whether another entry has run the
	// batch.
	private BatchAnswer withoutFalseRefusal(Batch batch, BatchAnswer answer) {
		boolean claimed = this.claims.isGranted(batch.id());
		return (isRefusal(answer) && !claimed) ? BatchAnswer.of(BatchVerdict.UNFINISHED, answer.reason())
				: withoutFalseRefusal(batch.id(), answer);
	}

	// A batch that another entry has announced may have run there.
	private BatchAnswer withoutFalseRefusal(BatchId id, BatchAnswer answer) {
		return (isRefusal(answer) && this.handover.isHeldElsewhere(id))
				? BatchAnswer.of(BatchVerdict.UNFINISHED, answer.reason()) : answer;
	}

	private static boolean isRefusal(BatchAnswer answer) {
		return answer.verdict() == BatchVerdict.OVERLOADED || answer.verdict() == BatchVerdict.UNAVAILABLE;
	}

	private void answerUnfinished(CallerRequest request, String reason, Moment now) {
		this.notices.send(NoticeKind.BATCH_ENDED, request.id().value(),
				BatchVerdict.UNFINISHED + " after " + request.ageMillis(now) + " ms: " + reason);
		this.callers.answer(request.caller(), BatchAnswer.of(BatchVerdict.UNFINISHED, reason));
	}

	private static long ageMillis(Batch batch, Moment now) {
		return (now.nanos() - batch.arrivedNanos()) / NANOS_PER_MILLI;
	}

	private boolean isHeldHere(BatchId id) {
		return this.batches.containsKey(id) || this.claims.isTakingOver(id);
	}

	private void giveUp(Batch batch, String reason, Moment now) {
		if (!batch.isAnswered()) {
			answer(batch, BatchAnswer.of(BatchVerdict.UNFINISHED, reason), now);
		}
	}

	/**
	 * Reacts to the results of claims.
	 */
	private final class ClaimResults implements ClaimListener {

		@Override
		public void onGranted(BatchId id) {
			BatchDispatcher.this.placementDue = true;
			BatchDispatcher.this.newlyGranted.add(BatchDispatcher.this.batches.get(id));
		}

		@Override
		public void onHeld(BatchId id, BatchHolder holder, Moment now) {
			Batch batch = BatchDispatcher.this.batches.get(id);
			if (batch == null || batch.isAnswered()) {
				return;
			}
			EntryIncarnation entry = holder.claim().entry();
			boolean own = entry.entry().equals(BatchDispatcher.this.self.entry());
			String reason = "entry " + entry.entry() + " claimed the batch " + holder.ageMillis() + " ms ago";
			BatchDispatcher.this.notices.send(NoticeKind.BATCH_CLAIM_DENIED, id.value(),
					reason + ", incarnation " + entry.incarnation().value());
			boolean early = !own && !batch.isStarted() && holder.ageMillis() < MIN_RETURN_MILLIS;
			if (early || batch.hasPlacedTask()) {
				giveUp(batch, reason, now);
			}
			else if (own || !deferTo(batch, holder.claim())) {
				markStarted(batch);
				BatchDispatcher.this.claims.takeOver(id, now);
			}
		}

		@Override
		public void onOvertaken(BatchId id, GuardId guard, Moment now) {
			Batch batch = BatchDispatcher.this.batches.get(id);
			if (batch != null) {
				giveUp(batch, "another entry has taken the batch over at " + guard, now);
			}
			else {
				onTakeOverEnded(id, now);
			}
		}

		@Override
		public void onTakeOverEnded(BatchId id, Moment now) {
			serveReadyRequests(now);
			BatchDispatcher.this.handover.confirmEnd(id);
		}

		@Override
		public void onUnreachable(BatchId id, Moment now) {
			Batch batch = BatchDispatcher.this.batches.get(id);
			if (batch != null) {
				giveUp(batch, "most guards that keep its claims are away", now);
			}
		}

		private boolean deferTo(Batch batch, BatchClaim claim) {
			List<CallerRequest> requests = batch.waitingRequests();
			if (!BatchDispatcher.this.handover.deferTo(requests, claim)) {
				return false;
			}
			requests.forEach((request) -> BatchDispatcher.this.byCaller.remove(request.caller()));
			BatchDispatcher.this.placer.remove(batch);
			BatchDispatcher.this.batches.remove(batch.id());
			BatchDispatcher.this.claims.onEnded(batch.id());
			return true;
		}

		// The other entry may have run the batch, so it can't be refused as not run.
		private void markStarted(Batch batch) {
			BatchDispatcher.this.placer.remove(batch);
			batch.markStarted();
			BatchDispatcher.this.placer.add(batch);
		}

	}

}
