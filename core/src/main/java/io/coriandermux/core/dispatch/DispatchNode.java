package io.coriandermux.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.coriandermux.core.estimate.RunTimeEstimate;
import io.coriandermux.core.estimate.RunTimeEstimates;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.RunId;

/**
 * Decisions of an entry about batches. It starts a task again only when the former run
 * has certainly ended, and refuses a batch as not run only if no run of it was ever sent
 * to a guard.
 */
public final class DispatchNode {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Batches are accounted for by route; their owner is not named. */
	private static final OwnerId ANY_OWNER = new OwnerId("any");

	/** An endpoint that takes no work now is asked again after this time. */
	private static final long AVOID_NANOS = 300 * NANOS_PER_MILLI;

	/** Without a pause a guard whose endpoint refuses connections is asked in a loop. */
	private static final long RETRY_NANOS = 50 * NANOS_PER_MILLI;

	private static final long RETRY_AFTER_MILLIS = 1000;

	/** An answer within three times the objective is late, but of use. */
	private static final long LATE_FACTOR = 3;

	private final DispatchSettings settings;

	private final CallerChannel callers;

	private final GuardChannel guards;

	private final Consumer<Notice> notices;

	private final EndpointTable endpoints;

	private final RunTimeEstimates estimates = new RunTimeEstimates();

	private final DrainRate drain = new DrainRate();

	private final Map<BatchId, Batch> batches = new LinkedHashMap<>();

	private final BatchPlacer placer;

	private final Map<CallerRef, Batch> byCaller = new LinkedHashMap<>();

	private final Map<BatchId, Deque<Deferred>> deferred = new LinkedHashMap<>();

	private final long startedNanos;

	private BatchTables tables;

	private long sequence;

	private boolean placeDue;

	private boolean shuttingDown;

	private long shutDownNanos;

	private long endNanos;

	private boolean closed;

	/**
	 * Creates the decisions of an entry without tables and guards.
	 * @param self the entry
	 * @param settings the times
	 * @param remoteFactor run time on a rack away from the data, as a multiple of that
	 * near it
	 * @param callers answers callers
	 * @param guards sends messages to guards
	 * @param notices receives notices for operators
	 * @param now the current time
	 */
	public DispatchNode(EntryId self, DispatchSettings settings, double remoteFactor, CallerChannel callers,
			GuardChannel guards, Consumer<Notice> notices, Moment now) {
		this.settings = settings;
		this.startedNanos = now.nanos();
		this.endpoints = new EndpointTable(remoteFactor, new EndpointPreference(self));
		this.callers = callers;
		this.guards = guards;
		this.notices = notices;
		this.placer = new BatchPlacer(this.endpoints, guards, notices);
	}

	/**
	 * Puts a configuration in force unless a newer one is.
	 * @param newTables the configuration
	 * @return whether it is in force now
	 */
	public boolean tables(BatchTables newTables) {
		if (this.tables != null && newTables.version() <= this.tables.version()) {
			return false;
		}
		this.tables = newTables;
		notice(NoticeKind.TABLES_IN_FORCE, "version " + newTables.version(), newTables.size() + " routes");
		return true;
	}

	/**
	 * Returns whether a configuration is in force.
	 * @return whether one is
	 */
	public boolean isConfigured() {
		return this.tables != null;
	}

	/**
	 * Takes a request to run a batch. It is answered when the batch has ended or is given
	 * up.
	 * @param caller the caller
	 * @param host host that the request names
	 * @param path path of the request
	 * @param request the request
	 * @param now the current time
	 */
	public void submit(CallerRef caller, String host, String path, BatchRequest request, Moment now) {
		if (this.tables == null) {
			refuse(caller, request.id(), BatchVerdict.UNAVAILABLE, "no configuration is in force yet",
					RETRY_AFTER_MILLIS);
			return;
		}
		Optional<BatchRoute> route = this.tables.find(host, path);
		if (route.isEmpty()) {
			refuse(caller, request.id(), BatchVerdict.NO_ROUTE,
					"version " + this.tables.version() + " has no route for " + host + path, 0);
			return;
		}
		if (request.unsupported().isPresent()) {
			refuse(caller, request.id(), BatchVerdict.UNAVAILABLE, request.unsupported().get(), 0);
			return;
		}
		Batch known = this.batches.get(request.id());
		if (known != null && !known.answered()) {
			known.callers().add(caller);
			this.byCaller.put(caller, known);
			return;
		}
		if (known != null) {
			this.deferred.computeIfAbsent(request.id(), (id) -> new ArrayDeque<>())
				.add(new Deferred(caller, host, path, request));
			return;
		}
		if (this.closed || this.shuttingDown && !fitsBeforeEnd(route.get(), request, now)) {
			refuse(caller, request.id(), BatchVerdict.UNAVAILABLE,
					"the entry ends in " + (this.endNanos - now.nanos()) / NANOS_PER_MILLI + " ms", RETRY_AFTER_MILLIS);
			return;
		}
		accept(caller, route.get(), request, now);
	}

	// Twice the expected time, since run times of a route vary by about that factor.
	private boolean fitsBeforeEnd(BatchRoute route, BatchRequest request, Moment now) {
		long expected = this.estimates.estimate(route.name(), ANY_OWNER, request.tasks().declaredMillis())
			.expectedNanos();
		long needed = Math.max(2 * expected, this.settings.leastRunMillis() * NANOS_PER_MILLI);
		return now.nanos() + needed <= this.endNanos;
	}

	private void accept(CallerRef caller, BatchRoute route, BatchRequest request, Moment now) {
		TaskGroup group = request.tasks();
		boolean warmingUp = now.nanos() - this.startedNanos < this.settings.warmUpMillis() * NANOS_PER_MILLI;
		if (!warmingUp && this.endpoints.inPool(route.pool()).isEmpty()) {
			refuse(caller, request.id(), BatchVerdict.UNAVAILABLE, "pool " + route.pool() + " has no known endpoint",
					RETRY_AFTER_MILLIS);
			return;
		}
		if (!warmingUp && !this.endpoints.isPossible(route.pool(), group)) {
			refuse(caller, request.id(), BatchVerdict.UNAVAILABLE,
					"no endpoint of pool " + route.pool() + " can hold a task that needs " + group.needs(), 0);
			return;
		}
		this.sequence++;
		Batch batch = new Batch(request, route, this.sequence, times(route, request, now));
		batch.callers().add(caller);
		this.byCaller.put(caller, batch);
		this.batches.put(batch.id(), batch);
		this.placer.add(batch);
		notice(NoticeKind.BATCH_ACCEPTED, batch.id().value(),
				"route " + route.name() + " of version " + this.tables.version() + ", " + group.count() + " tasks of "
						+ group.needs().millicores() + " millicores, declared " + group.declaredMillis()
						+ " ms, expected " + batch.expectedNanos() / NANOS_PER_MILLI + " ms, latest start in "
						+ (batch.latestStartNanos() - now.nanos()) / NANOS_PER_MILLI + " ms");
		this.placer.place(now);
		refuseIfHopeless(batch, now);
	}

	// What the work before it will not let start in time is refused at once, so that the
	// caller can go elsewhere.
	private void refuseIfHopeless(Batch batch, Moment now) {
		if (batch.started()) {
			return;
		}
		double waitMillis = this.drain.waitMillis(this.placer.workBefore(batch), now.nanos());
		if (now.nanos() + waitMillis * NANOS_PER_MILLI > batch.latestStartNanos()) {
			long retryAfter = Math.max(RETRY_AFTER_MILLIS,
					(long) this.drain.waitMillis(this.placer.workBefore(null), now.nanos()));
			answer(batch, new BatchAnswer(BatchVerdict.OVERLOADED,
					"the work before it takes " + (long) waitMillis + " ms, of which "
							+ (batch.latestStartNanos() - now.nanos()) / NANOS_PER_MILLI + " ms are left",
					retryAfter), now);
		}
	}

	private BatchTimes times(BatchRoute route, BatchRequest request, Moment now) {
		RunTimeEstimate estimate = this.estimates.estimate(route.name(), ANY_OWNER, request.tasks().declaredMillis());
		long expected = estimate.expectedNanos();
		long fastest = (long) (expected * this.endpoints.leastSlowness(route.pool(), now.nanos()));
		long objective = (long) (expected * route.slowdownFactor()) + route.extraMillis() * NANOS_PER_MILLI;
		long latest = now.nanos() + objective - fastest - this.settings.overheadMillis() * NANOS_PER_MILLI;
		long giveUp = now.nanos() + (request.waitMillis() - this.settings.replyMarginMillis()) * NANOS_PER_MILLI;
		long lateStart = latest + (LATE_FACTOR - 1) * objective;
		return new BatchTimes(now.nanos(), giveUp, Math.min(latest, giveUp), Math.min(lateStart, giveUp), expected);
	}

	/**
	 * Takes note that a caller does not wait any more.
	 * @param caller the caller
	 * @param now the current time
	 */
	public void callerGone(CallerRef caller, Moment now) {
		Batch batch = this.byCaller.remove(caller);
		if (batch == null) {
			this.deferred.values().forEach((queue) -> queue.removeIf((entry) -> entry.caller().equals(caller)));
			return;
		}
		batch.callers().remove(caller);
		if (batch.callers().isEmpty() && !batch.answered()) {
			notice(NoticeKind.BATCH_ABANDONED, batch.id().value(), "the caller left after " + age(batch, now) + " ms");
			abandon(batch);
			finish(batch, now);
			this.placer.place(now);
		}
	}

	/**
	 * Cancels a batch.
	 * @param id the batch
	 * @param now the current time
	 * @return what is known of the batch afterwards
	 */
	public BatchVerdict cancel(BatchId id, Moment now) {
		Batch batch = this.batches.get(id);
		if (batch == null || batch.answered()) {
			return BatchVerdict.UNKNOWN;
		}
		answer(batch, BatchAnswer.of(BatchVerdict.CANCELLED, "the caller cancelled the batch"), now);
		this.placer.place(now);
		return BatchVerdict.CANCELLED;
	}

	/**
	 * Tells the state of a batch.
	 * @param id the batch
	 * @return its state
	 */
	public BatchVerdict state(BatchId id) {
		Batch batch = this.batches.get(id);
		if (batch == null || batch.answered()) {
			return BatchVerdict.UNKNOWN;
		}
		return batch.started() ? BatchVerdict.RUNNING : BatchVerdict.QUEUED;
	}

	/**
	 * Counts the batches of a route of which no task has been sent to a guard.
	 * @param host host that the request names
	 * @param path path of the request
	 * @return the number, empty if no route takes the request
	 */
	public Optional<Integer> pending(String host, String path) {
		if (this.tables == null) {
			return Optional.empty();
		}
		return this.tables.find(host, path).map(this.placer::pending);
	}

	/**
	 * Takes note of a link to a guard.
	 * @param guard the guard
	 * @param incarnation its incarnation
	 */
	public void guardUp(GuardId guard, Incarnation incarnation) {
		boolean same = this.endpoints.of(guard).filter((known) -> known.incarnation().equals(incarnation)).isPresent();
		this.endpoints.up(guard, incarnation);
		List<BatchTask> running = this.placer.runningAt(guard);
		if (same) {
			// The guard answers for each of these runs, and some may go on.
			running.forEach(BatchTask::linkedAgain);
		}
		List<RunId> held = running.stream().map(BatchTask::run).toList();
		this.guards.send(guard, new HeldRuns(held));
	}

	/**
	 * Takes note that a guard is silent.
	 * @param guard the guard
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void guardLost(GuardId guard, Incarnation incarnation, Moment now) {
		Optional<PooledEndpoint> endpoint = this.endpoints.of(guard)
			.filter((known) -> known.incarnation().equals(incarnation));
		if (endpoint.isEmpty()) {
			return;
		}
		endpoint.get().linked(false);
		long settled = endpoint.get().settledNanos(this.settings, now.nanos());
		List<BatchTask> unknown = this.placer.runningAt(guard);
		unknown.forEach((task) -> task.unknownUntil(settled));
		if (!unknown.isEmpty()) {
			notice(NoticeKind.RUNS_UNKNOWN, guard.value(),
					unknown.size() + " runs, certainly ended in " + (settled - now.nanos()) / NANOS_PER_MILLI + " ms");
		}
	}

	/**
	 * Takes a message of a guard.
	 * @param guard the sender
	 * @param incarnation its incarnation
	 * @param message the message
	 * @param now the current time
	 */
	public void message(GuardId guard, Incarnation incarnation, Message message, Moment now) {
		Optional<PooledEndpoint> endpoint = this.endpoints.of(guard)
			.filter((known) -> known.incarnation().equals(incarnation));
		if (endpoint.isEmpty()) {
			return;
		}
		if (message instanceof SessionPing ping) {
			endpoint.get().confirmed(now.nanos());
			this.guards.send(guard, new SessionPong(ping.clockNanos()));
		}
		else if (message instanceof EndpointChanged changed) {
			changed(endpoint.get(), changed, now);
		}
		else if (message instanceof RunEnded ended) {
			ended(endpoint.get(), ended, now);
		}
	}

	/**
	 * Places waiting tasks if endpoints have reported since the last time. To be called
	 * after a number of messages was taken, because the choice of an endpoint costs more
	 * than a message.
	 * @param now the current time
	 */
	public void settle(Moment now) {
		if (this.placeDue) {
			this.placeDue = false;
			this.placer.place(now);
		}
	}

	private void changed(PooledEndpoint endpoint, EndpointChanged changed, Moment now) {
		boolean news = endpoint.load() == null || endpoint.load().accepting() != changed.load().accepting();
		endpoint.loaded(changed.load(), changed.order(), now.nanos());
		if (news) {
			notice(NoticeKind.ENDPOINT_KNOWN, endpoint.guard().value(),
					"accepting " + changed.load().accepting() + ", free " + changed.load().free() + " of "
							+ changed.load().capacity() + ", labels " + changed.load().labels());
		}
		this.placeDue = true;
	}

	private void ended(PooledEndpoint endpoint, RunEnded ended, Moment now) {
		Optional<BatchTask> found = this.placer.ended(ended.run(), endpoint.guard());
		if (found.isEmpty()) {
			return;
		}
		BatchTask task = found.get();
		Batch batch = task.batch;
		this.drain.ended(batch.request().tasks().needs().millicores(), ended.runMillis(), now.nanos());
		switch (ended.outcome()) {
			case DONE -> {
				learn(endpoint, batch, ended.runMillis() * NANOS_PER_MILLI, now);
				task.done();
				if (batch.taskDone() && !batch.answered()) {
					answer(batch, BatchAnswer.of(BatchVerdict.COMPLETED, ""), now);
				}
			}
			case FAILED -> {
				this.endpoints.ended(endpoint, false, now.nanos());
				task.failed();
				if (task.failures() >= batch.route().maxAttempts() && !batch.answered()) {
					answer(batch, BatchAnswer.of(BatchVerdict.FAILED, "task " + task.index + " failed "
							+ task.failures() + " times, last at " + endpoint.guard()), now);
				}
				retry(task, ended, now);
			}
			case INVALID -> {
				if (!batch.answered()) {
					answer(batch, BatchAnswer.of(BatchVerdict.FAILED,
							"endpoint " + endpoint.guard() + " cannot run task " + task.index), now);
				}
				retry(task, ended, now);
			}
			case STALLED -> {
				this.endpoints.ended(endpoint, false, now.nanos());
				retry(task, ended, now);
			}
			case UNHEALTHY, ENDPOINT_LOST, LAPSED -> {
				endpoint.avoidUntil(now.nanos() + AVOID_NANOS);
				retry(task, ended, now);
			}
			case NOT_STARTED -> {
				endpoint.avoidUntil(now.nanos() + RETRY_NANOS);
				retry(task, ended, now);
			}
			default -> retry(task, ended, now);
		}
		finish(batch, now);
		this.placeDue = true;
	}

	private void learn(PooledEndpoint endpoint, Batch batch, long runNanos, Moment now) {
		RunTimeEstimate estimate = this.estimates.estimate(batch.route().name(), ANY_OWNER,
				batch.request().tasks().declaredMillis());
		if (estimate.learned()) {
			endpoint.speed().observe(estimate.typicalNanos(), runNanos);
		}
		this.estimates.observe(batch.route().name(), ANY_OWNER, (long) (runNanos / endpoint.speed().slowness()));
		this.endpoints.ended(endpoint, true, now.nanos());
	}

	private void retry(BatchTask task, RunEnded ended, Moment now) {
		this.placer.waitAgain(task);
		if (task.batch.answered()) {
			return;
		}
		notice(NoticeKind.TASK_RETRIED, ended.run().toString(), ended.outcome() + " at " + task.guard() + " after "
				+ (now.nanos() - task.placedNanos()) / NANOS_PER_MILLI + " ms");
	}

	/**
	 * Lets time pass; to be called about every 20 ms, less often without work.
	 * @param now the current time
	 */
	public void tick(Moment now) {
		for (BatchTask task : this.placer.running()) {
			if (task.settledNanos() != 0 && now.nanos() >= task.settledNanos()) {
				notice(NoticeKind.TASK_RETRIED, task.run().toString(), "its guard " + task.guard() + " is gone");
				this.placer.ended(task.run(), task.guard());
				this.placer.waitAgain(task);
				finish(task.batch, now);
			}
		}
		for (Batch batch : new ArrayList<>(this.batches.values())) {
			if (!batch.answered()) {
				check(batch, now);
			}
		}
		this.placer.place(now);
	}

	private void check(Batch batch, Moment now) {
		if (!batch.started() && isHopeless(batch, now)) {
			answer(batch, new BatchAnswer(BatchVerdict.OVERLOADED,
					"no endpoint had room within " + age(batch, now) + " ms", RETRY_AFTER_MILLIS), now);
		}
		else if (now.nanos() >= batch.giveUpNanos()) {
			answer(batch, BatchAnswer.of(BatchVerdict.UNFINISHED, "not done when the caller's wait ended"), now);
		}
	}

	/**
	 * Begins to shut down. Batches in progress go on, and new ones are taken for a while,
	 * since callers use open connections until they are closed, and a load balancer goes
	 * on sending new ones where this entry is the only one of its zone.
	 * @param limitMillis time until the entry ends in any case, in milliseconds
	 * @param now the current time
	 */
	public void shutDown(long limitMillis, Moment now) {
		this.shuttingDown = true;
		this.shutDownNanos = now.nanos();
		this.endNanos = now.nanos() + limitMillis * NANOS_PER_MILLI;
	}

	/**
	 * Gives up all batches because the entry ends.
	 * @param now the current time
	 */
	public void giveUp(Moment now) {
		this.closed = true;
		new ArrayList<>(this.batches.values()).stream()
			.filter((batch) -> !batch.answered())
			.forEach(
					(batch) -> answer(batch,
							batch.started() ? BatchAnswer.of(BatchVerdict.UNFINISHED, "the entry ends")
									: new BatchAnswer(BatchVerdict.UNAVAILABLE, "the entry ends", RETRY_AFTER_MILLIS),
							now));
	}

	/**
	 * Ends the shutdown if callers had time to leave and no batch is in progress. From
	 * then on no batch is taken, because the process closes its ports.
	 * @param now the current time
	 * @return whether the shutdown is finished
	 */
	public boolean endIfIdle(Moment now) {
		this.closed = this.closed || (this.shuttingDown
				&& now.nanos() - this.shutDownNanos >= this.settings.leaveMillis() * NANOS_PER_MILLI
				&& this.batches.values().stream().allMatch(Batch::answered));
		return this.closed;
	}

	/**
	 * Returns the state for operators.
	 * @param now the current time
	 * @return the state
	 */
	public DispatchStatus status(Moment now) {
		int accepting = (int) this.endpoints.all().stream().filter((endpoint) -> endpoint.accepts(now.nanos())).count();
		return new DispatchStatus((this.tables != null) ? this.tables.version() : 0,
				(this.tables != null) ? this.tables.size() : 0, this.endpoints.all().size(), accepting,
				this.batches.size(), this.placer.waiting());
	}

	// While no endpoint of the pool takes work, a late answer is still better than none;
	// once one does, a batch that cannot meet its objective yields to those that can.
	private boolean isHopeless(Batch batch, Moment now) {
		if (now.nanos() < batch.latestStartNanos()) {
			return false;
		}
		return now.nanos() >= batch.lateStartNanos() || this.endpoints.isServing(batch.route().pool(), now.nanos());
	}

	private void answer(Batch batch, BatchAnswer answer, Moment now) {
		notice(NoticeKind.BATCH_ENDED, batch.id().value(), answer.verdict() + " after " + age(batch, now) + " ms"
				+ (answer.reason().isEmpty() ? "" : ": " + answer.reason()));
		batch.callers().forEach((caller) -> {
			this.byCaller.remove(caller);
			this.callers.answer(caller, answer);
		});
		batch.callers().clear();
		abandon(batch);
		finish(batch, now);
	}

	// Stops what runs of a batch that nobody waits for any more.
	private void abandon(Batch batch) {
		batch.answer();
		this.placer.remove(batch);
		batch.tasks()
			.stream()
			.filter((task) -> task.state() == BatchTask.State.PLACED)
			.forEach((task) -> this.guards.send(task.guard(), new StopRun(task.run())));
	}

	private void finish(Batch batch, Moment now) {
		if (!batch.answered() || batch.isPlaced()) {
			return;
		}
		this.batches.remove(batch.id());
		Deque<Deferred> next = this.deferred.remove(batch.id());
		if (next != null) {
			next.forEach((entry) -> submit(entry.caller(), entry.host(), entry.path(), entry.request(), now));
		}
	}

	private void refuse(CallerRef caller, BatchId id, BatchVerdict verdict, String reason, long retryAfterMillis) {
		notice(NoticeKind.BATCH_REFUSED, id.value(), verdict + ": " + reason);
		this.callers.answer(caller, new BatchAnswer(verdict, reason, retryAfterMillis));
	}

	private static long age(Batch batch, Moment now) {
		return (now.nanos() - batch.arrivedNanos()) / NANOS_PER_MILLI;
	}

	private void notice(NoticeKind kind, String subject, String detail) {
		this.notices.accept(new Notice(kind, subject, detail));
	}

	/**
	 * A request that waits for the end of an earlier run of the same batch.
	 *
	 * @param caller the caller
	 * @param host host that the request names
	 * @param path path of the request
	 * @param request the request
	 */
	private record Deferred(CallerRef caller, String host, String path, BatchRequest request) {

	}

}
