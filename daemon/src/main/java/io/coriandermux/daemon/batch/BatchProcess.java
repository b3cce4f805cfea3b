package io.coriandermux.daemon.batch;

import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.daemon.http.HttpPort;
import io.coriandermux.daemon.http.HttpPortOptions;
import io.coriandermux.daemon.http.OperatorService;
import io.coriandermux.daemon.http.OperatorsHandler;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.Announcer;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.store.Store;
import io.coriandermux.version.ProgramVersion;
import io.coriandermux.wire.HeartbeatRevisions;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.TimeSource;

/**
 * Components that all processes that serve batches share: the decision thread, the links,
 * the announcement, the operators' port and the graceful shutdown.
 */
final class BatchProcess implements AutoCloseable {

	private static final long MAX_OPERATOR_BODY_BYTES = 1024;

	private static final long SHUTDOWN_POLL_MILLIS = 20;

	private final ProcessContext context;

	private final DecisionLoop loop;

	private final LinkEventLoop links;

	private final Member self;

	private final Announcer announcer;

	private final CountDownLatch shutdownRequested = new CountDownLatch(1);

	private final AtomicBoolean shuttingDown = new AtomicBoolean();

	/** Why the shutdown was requested; null before that. */
	private final AtomicReference<String> shutdownCause = new AtomicReference<>();

	private volatile long shutdownStartedNanos;

	private HttpPort operators;

	/**
	 * Binds the port for links.
	 * @param role role of the process
	 * @param settings the settings
	 * @param time the clock of the process
	 * @param store the store in which it announces itself
	 * @param handlers handlers of the events of the process
	 * @throws IOException if the port cannot be bound
	 */
	BatchProcess(PeerRole role, ProcessSettings settings, TimeSource time, Store store, EventHandlers handlers)
			throws IOException {
		this.context = ProcessContext.create(settings, time);
		this.loop = new DecisionLoop("decisions", handlers.afterWork(), handlers.onTick(), time, this.context.log(),
				this.shutdownRequested::countDown);
		this.links = this.context.bindLinks(role, BatchIntervals.linkSettings(), () -> HeartbeatRevisions.NONE,
				handlers.linkListener());
		this.self = new Member(new PeerName(role, settings.id()), this.context.incarnation(),
				new PeerAddress(settings.address(), this.links.port()), AnnouncementFormat.PROTOCOL);
		this.announcer = new Announcer(store, AnnouncementFormat.write(this.self, Optional.empty()),
				BatchIntervals.ANNOUNCEMENT_LEASE_MILLIS, handlers.onPreviousAnnouncement(), () -> {
				}, this.context.log(), this.context.health());
	}

	/**
	 * Starts the threads and opens the operators' port.
	 * @param status returns the state of the process; called on the decision thread
	 */
	void start(Supplier<Object> status) {
		ProcessSettings settings = this.context.settings();
		this.context.metrics().registerGauge("decisions.depth", this.loop::depth);
		this.context.metrics().registerGauge("store.available", () -> this.context.health().isAvailable() ? 1 : 0);
		this.loop.startOn(this.links);
		this.links.start();
		this.announcer.start();
		this.operators = HttpPort.open(settings.address(), settings.operatorsPort(),
				new HttpPortOptions(1, settings.connections(), MAX_OPERATOR_BODY_BYTES),
				new OperatorsHandler(new Operators(status)));
		this.context.log()
			.record(LogEvent.STARTED, this.self.name().toString(),
					"operators at port " + this.operators.port() + ", links at port " + this.links.port()
							+ ", incarnation " + this.context.incarnation().value() + ", version "
							+ ProgramVersion.current());
	}

	ProcessContext context() {
		return this.context;
	}

	/**
	 * Counts and logs a notice of the decision thread, and records its duration.
	 * @param notice the notice
	 */
	void record(Notice notice) {
		String metric = "notices." + notice.kind().name().toLowerCase(Locale.ROOT);
		this.context.metrics().count(metric);
		notice.durationNanos().ifPresent((nanos) -> this.context.metrics().recordDuration(metric + ".time", nanos));
		this.context.log().record(notice);
	}

	/**
	 * Counts a message that was dropped because its receiver is not connected. A dropped
	 * request to stop a run is logged, because the run continues.
	 * @param peer the receiver
	 * @param message the message
	 */
	void onDropped(PeerName peer, Message message) {
		this.context.metrics().count("messages.dropped." + message.getClass().getSimpleName());
		if (message instanceof StopRun stop) {
			record(new Notice(NoticeKind.STOP_DROPPED, stop.run().toString(), "no link to " + peer));
		}
	}

	DecisionLoop loop() {
		return this.loop;
	}

	LinkEventLoop links() {
		return this.links;
	}

	Moment now() {
		return this.context.time().now();
	}

	String id() {
		return this.context.settings().id();
	}

	int operatorsPort() {
		return this.operators.port();
	}

	/**
	 * Updates the announcement of this process with the last report of its endpoint.
	 * @param report the report
	 */
	void announce(EndpointReport report) {
		this.announcer.update(AnnouncementFormat.write(this.self, Optional.of(report)).value());
	}

	void awaitShutdownOrFailure() throws InterruptedException {
		this.shutdownRequested.await();
	}

	/**
	 * Requests a graceful shutdown without waiting for it.
	 * @param cause why it is requested; that of the first request is logged
	 */
	void requestShutdown(String cause) {
		this.shutdownCause.compareAndSet(null, cause);
		this.shutdownRequested.countDown();
	}

	boolean isShuttingDown() {
		return this.shuttingDown.get();
	}

	void reload() {
		this.context.log().record(LogEvent.RELOADED, id(), "the settings of a running process cannot be changed");
	}

	/**
	 * Shuts down gracefully.
	 * @param start starts the shutdown on the decision thread; receives the time until
	 * the limit in milliseconds
	 * @param finished checks on the decision thread whether the work in progress has
	 * ended
	 * @param onOverdue called on the decision thread if it has not ended at the limit
	 * @return whether it ended within the limit
	 */
	boolean shutDown(Consumer<Long> start, BooleanSupplier finished, Runnable onOverdue) {
		if (!this.shuttingDown.compareAndSet(false, true)) {
			return true;
		}
		this.shutdownStartedNanos = now().nanos();
		this.context.log()
			.record(LogEvent.SHUTDOWN_STARTED, id(),
					"requested by " + this.shutdownCause.get() + ", work in progress continues");
		long limitMillis = BatchIntervals.shutdownLimitMillis(this.context.settings());
		this.loop.put(() -> start.accept(limitMillis));
		long endNanos = now().nanos() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
		while (now().nanos() < endNanos) {
			if (evaluateOnDecisionThread(finished)) {
				this.context.log().record(LogEvent.WORK_ENDED, id(), describeShutdownTime());
				return true;
			}
		}
		this.loop.put(onOverdue);
		evaluateOnDecisionThread(finished);
		this.context.log().record(LogEvent.SHUTDOWN_OVERDUE, id(), "the drain limit of " + limitMillis + " ms expired");
		return false;
	}

	private boolean evaluateOnDecisionThread(BooleanSupplier condition) {
		CountDownLatch evaluated = new CountDownLatch(1);
		AtomicBoolean result = new AtomicBoolean();
		this.loop.put(() -> {
			result.set(condition.getAsBoolean());
			evaluated.countDown();
		});
		try {
			boolean completed = evaluated.await(SHUTDOWN_POLL_MILLIS, TimeUnit.MILLISECONDS);
			new CountDownLatch(1).await(SHUTDOWN_POLL_MILLIS, TimeUnit.MILLISECONDS);
			return completed && result.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

	@Override
	public void close() {
		StringBuilder stages = new StringBuilder();
		close("announcement", this.announcer::stopRenewals, stages);
		close("decisions", this.loop::close, stages);
		close("links", this.links::close, stages);
		close("operators", this.operators::close, stages);
		this.context.log().record(LogEvent.STOPPED, id(), "all ports are closed, " + describeShutdownTime() + stages);
	}

	private void close(String stage, Runnable action, StringBuilder stages) {
		long startNanos = now().nanos();
		action.run();
		stages.append(", ")
			.append(stage)
			.append(' ')
			.append(TimeUnit.NANOSECONDS.toMillis(now().nanos() - startNanos))
			.append(" ms");
	}

	private String describeShutdownTime() {
		return isShuttingDown() ? TimeUnit.NANOSECONDS.toMillis(now().nanos() - this.shutdownStartedNanos)
				+ " ms after the shutdown started" : "without a graceful shutdown";
	}

	/**
	 * Handlers of the events of a process.
	 *
	 * @param afterWork called on the decision thread after the queued work has run
	 * @param onTick called on the decision thread every 20 ms, less often when idle
	 * @param linkListener receives messages and events of the links
	 * @param onPreviousAnnouncement receives the announcement of the previous incarnation
	 */
	record EventHandlers(Runnable afterWork, Runnable onTick, LinkListener linkListener,
			Consumer<String> onPreviousAnnouncement) {

	}

	private final class Operators implements OperatorService {

		private final Supplier<Object> status;

		Operators(Supplier<Object> status) {
			this.status = status;
		}

		@Override
		public boolean status(Consumer<Object> receiver) {
			return BatchProcess.this.loop.offer(() -> receiver.accept(this.status.get()));
		}

		@Override
		public boolean explain(OwnerId owner, String job, Consumer<Optional<Object>> receiver) {
			return BatchProcess.this.loop.offer(() -> receiver.accept(Optional.empty()));
		}

		@Override
		public boolean failures(OwnerId owner, Consumer<Object> receiver) {
			return BatchProcess.this.loop.offer(() -> receiver.accept(List.of()));
		}

		@Override
		public List<RecentEvent> events() {
			return BatchProcess.this.context.log().recentEvents();
		}

		@Override
		public MetricRegistry metrics() {
			return BatchProcess.this.context.metrics().registry();
		}

		@Override
		public void drain() {
			requestShutdown("an operator");
		}

	}

}
