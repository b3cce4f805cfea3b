package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.lease.EndpointOrders;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.lease.LeaseManager;
import io.coriandermux.core.lease.LeaseSettings;
import io.coriandermux.core.lease.LeaseTerms;
import io.coriandermux.core.lease.Poll;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.run.RunId;

/**
 * A guard that runs the lease manager beside its endpoint.
 */
final class ModelGuard extends ModelProcess implements EndpointOrders {

	private static final long MAX_LEASE_MILLIS = 1_000;

	private static final long CALL_TIMEOUT_MILLIS = 150;

	private static final long REPORT_INTERVAL_MILLIS = 1_500;

	private static final long RESTORE_MILLIS = 30;

	private static final long SHUTDOWN_POLL_MILLIS = 20;

	private final GuardId id;

	private final ModelEndpoint endpoint;

	private final RunChecker checker;

	private final Map<EntryId, Consumer<Message>> links = new LinkedHashMap<>();

	private final List<Runnable> killHandlers = new ArrayList<>();

	/** The entries for which the runs were ordered most recently. */
	private final Map<RunId, EntryIncarnation> owners = new LinkedHashMap<>();

	private final Map<EntryId, Incarnation> incarnations = new LinkedHashMap<>();

	private EntryIncarnation sender;

	private LeaseManager leaseManager;

	private EndpointReport announced;

	private boolean reportRestored = true;

	ModelGuard(String name, ModelEndpoint endpoint, ModelClock clock, ModelTrace trace, SplittableRandom random,
			RunChecker checker) {
		super(name, clock, trace, random);
		this.id = new GuardId(name);
		this.endpoint = endpoint;
		this.checker = checker;
		reportPeriodically();
	}

	GuardId id() {
		return this.id;
	}

	ModelEndpoint endpoint() {
		return this.endpoint;
	}

	void addLink(EntryId entry, Consumer<Message> sender, Runnable onKilled) {
		this.links.put(entry, sender);
		this.killHandlers.add(onKilled);
	}

	/**
	 * Sets whether the next incarnation of this guard knows the last report of its
	 * endpoint, or has to wait for the next one.
	 * @param value whether it knows the report
	 */
	void setReportRestored(boolean value) {
		this.reportRestored = value;
	}

	@Override
	void onStart() {
		this.checker.onGuardStarted(this.endpoint, life());
		this.leaseManager = new LeaseManager(LeaseSettings.of(MAX_LEASE_MILLIS), incarnation().value(), this,
				this::send, (notice) -> log(notice.kind() + " " + notice.subject() + " : " + notice.detail()));
		if (this.announced != null && this.reportRestored) {
			long started = life();
			EndpointReport report = this.announced;
			clock().afterMillis(RESTORE_MILLIS,
					() -> postIn(started, () -> this.leaseManager.restoreReport(report, now())));
		}
	}

	/**
	 * Asks the process to end. It refuses runs from now on, ends when none is left or at
	 * the limit, and starts again.
	 * @param limitMillis the limit in milliseconds
	 * @param downMillis time until it starts again, in milliseconds
	 */
	void stop(long limitMillis, long downMillis) {
		log("FAULT is asked to end");
		long stopped = life();
		postIn(stopped, () -> this.leaseManager.shutDown(now()));
		endWhenIdle(stopped, clock().nanos() + limitMillis * ModelClock.NANOS_PER_MILLI, downMillis);
	}

	private void endWhenIdle(long stopped, long endNanos, long downMillis) {
		clock().afterMillis(SHUTDOWN_POLL_MILLIS, () -> {
			if (stopped != life()) {
				return;
			}
			if (!isPaused() && (this.leaseManager.isIdle() || clock().nanos() >= endNanos)) {
				kill();
				clock().afterMillis(downMillis, this::start);
				return;
			}
			endWhenIdle(stopped, endNanos, downMillis);
		});
	}

	@Override
	void onKilled() {
		this.killHandlers.forEach(Runnable::run);
	}

	@Override
	void tick() {
		this.leaseManager.tick(now());
	}

	void onEntryConnected(EntryId entry, Incarnation incarnation) {
		post(() -> {
			this.incarnations.put(entry, incarnation);
			this.leaseManager.onEntryConnected(entry, incarnation, now());
		});
	}

	void onEntryLost(EntryId entry, Incarnation incarnation) {
		log("FAULT lost " + entry);
		post(() -> this.leaseManager.onEntryLost(entry, incarnation, now()));
	}

	void onMessage(EntryId entry, Incarnation incarnation, Message message) {
		post(() -> {
			if (message instanceof StopRun stop) {
				this.checker.onStopReceived(this.endpoint, stop.run());
			}
			this.sender = new EntryIncarnation(entry, incarnation);
			this.leaseManager.onMessage(entry, incarnation, message, now());
		});
	}

	private void reportPeriodically() {
		clock().afterMillis(REPORT_INTERVAL_MILLIS, this::reportPeriodically);
		if (isUp() && this.endpoint.isUp()) {
			report();
		}
	}

	/**
	 * Makes the endpoint report itself.
	 */
	void report() {
		receive(this.endpoint.report());
	}

	/**
	 * Receives a heartbeat, which may come from another writer than the endpoint.
	 * @param report the contents of the heartbeat
	 */
	void receive(EndpointReport report) {
		post(() -> {
			this.announced = report;
			this.leaseManager.onHeartbeat(report, now());
		});
	}

	private void send(EntryId entry, Message message) {
		EntryIncarnation receiver = new EntryIncarnation(entry, this.incarnations.get(entry));
		emit(() -> {
			if (message instanceof RunEnded ended) {
				log("reports " + ended.run() + " " + ended.outcome() + " to " + entry);
				// Another entry is told about a run of its own that has the same number.
				if (this.owners.getOrDefault(ended.run(), receiver).equals(receiver)) {
					this.checker.onReportedEnded(this.endpoint, ended.run());
				}
			}
			else if (message instanceof ClaimAnswer answer) {
				log("answers the claim of " + answer.batch().value() + " by " + entry + " : complete "
						+ answer.complete() + ", holder " + answer.holder());
			}
			else if (message instanceof TakeOverAnswer answer) {
				log("answers the take-over " + answer.number() + " of " + answer.batch().value() + " by " + entry
						+ " : granted " + answer.granted());
			}
			this.links.get(entry).accept(message);
		});
	}

	private void postIn(long started, Runnable work) {
		if (started == life()) {
			post(work);
		}
	}

	@Override
	public void start(LeaseTerms lease, RunId run, String spec) {
		long started = life();
		this.owners.put(run, this.sender);
		emit(() -> {
			this.checker.onOrdered(this.endpoint, run, started);
			this.endpoint.start(lease, run, Long.parseLong(spec),
					new CallAnswer(clock(), CALL_TIMEOUT_MILLIS, (result, clockMillis, contents) -> postIn(started,
							() -> this.leaseManager.onStartAnswered(run, result, clockMillis, now()))));
		});
	}

	@Override
	public void stop(LeaseTerms lease, RunId run) {
		long started = life();
		emit(() -> this.endpoint.stop(lease, run,
				new CallAnswer(clock(), CALL_TIMEOUT_MILLIS, (result, clockMillis, contents) -> postIn(started,
						() -> this.leaseManager.onStopAnswered(run, result, clockMillis, now())))));
	}

	@Override
	public void poll(LeaseTerms lease, Poll poll) {
		long started = life();
		emit(() -> this.endpoint.poll(lease, poll,
				new CallAnswer(clock(), poll.waitMillis() + CALL_TIMEOUT_MILLIS,
						(result, clockMillis, contents) -> postIn(started,
								() -> this.leaseManager.onPollAnswered(poll, result, contents, now())))));
	}

}
