package io.coriandermux.daemon.batch;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.daemon.http.HttpPort;
import io.coriandermux.daemon.http.HttpPortOptions;
import io.coriandermux.daemon.http.OperatorSource;
import io.coriandermux.daemon.http.OperatorsHandler;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.Announcer;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.store.Store;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.LinkLoop;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.Revisions;
import io.coriandermux.wire.TimeSource;

/**
 * What the processes that serve batches have in common: the decision thread, the links,
 * the announcement, the operators' port, and the request to shut down.
 */
final class BatchProcess implements AutoCloseable {

	private static final long OPERATORS_BODY_BYTES = 1024;

	private static final long POLL_MILLIS = 20;

	private final ProcessContext context;

	private final DecisionLoop loop;

	private final LinkLoop links;

	private final Member self;

	private final Announcer announcer;

	private final CountDownLatch shutdownAsked = new CountDownLatch(1);

	private final AtomicBoolean shuttingDown = new AtomicBoolean();

	private HttpPort operators;

	/**
	 * Binds the port for links.
	 * @param role kind of the process
	 * @param settings the settings
	 * @param time the clock of the process
	 * @param store the store in which it announces itself
	 * @param parts what the process does with events
	 * @throws IOException if the port cannot be bound
	 */
	BatchProcess(PeerRole role, ProcessSettings settings, TimeSource time, Store store, Parts parts)
			throws IOException {
		this.context = ProcessContext.starting(settings, time);
		this.loop = new DecisionLoop("decisions", parts.settle(), parts.tick(), time, this.context.log(),
				this.shutdownAsked::countDown);
		this.links = this.context.links(role, BatchIntervals.links(), () -> Revisions.NONE, parts.listener());
		this.self = new Member(new PeerName(role, settings.id()), this.context.incarnation(),
				new PeerAddress(settings.address(), this.links.port()));
		this.announcer = new Announcer(store, MemberValues.write(this.self, Optional.empty()),
				BatchIntervals.LEASE_MILLIS, parts.former(), () -> {
				}, this.context.log(), this.context.health());
	}

	/**
	 * Starts the threads and opens the operators' port.
	 * @param status reads the state of the process, on the decision thread
	 */
	void start(Supplier<Object> status) {
		ProcessSettings settings = this.context.settings();
		this.context.metrics().gauge("decisions.depth", this.loop::depth);
		this.context.metrics().gauge("store.available", () -> this.context.health().available() ? 1 : 0);
		this.loop.startOn(this.links);
		this.links.start();
		this.announcer.start();
		this.operators = HttpPort.open(settings.address(), settings.operatorsPort(),
				new HttpPortOptions(1, settings.connections(), OPERATORS_BODY_BYTES),
				new OperatorsHandler(new Operators(status)));
		this.context.log()
			.record(LogEvent.STARTED, this.self.name().toString(), "operators at port " + this.operators.port()
					+ ", links at port " + this.links.port() + ", incarnation " + this.context.incarnation().value());
	}

	ProcessContext context() {
		return this.context;
	}

	DecisionLoop loop() {
		return this.loop;
	}

	LinkLoop links() {
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
	 * Announces what the endpoint of this process has said of itself.
	 * @param report the report
	 */
	void announce(EndpointReport report) {
		this.announcer.update(MemberValues.write(this.self, Optional.of(report)).value());
	}

	void awaitShutdownOrFailure() throws InterruptedException {
		this.shutdownAsked.await();
	}

	void askShutdown() {
		this.shutdownAsked.countDown();
	}

	boolean isShuttingDown() {
		return this.shuttingDown.get();
	}

	void reload() {
		this.context.log().record(LogEvent.RELOADED, id(), "no setting changes in a running process");
	}

	/**
	 * Shuts down gracefully.
	 * @param begin begins it, on the decision thread; gets the time until the limit in
	 * milliseconds
	 * @param finished whether it has finished, on the decision thread
	 * @param overdue called on the decision thread if it has not at the limit
	 * @return whether it finished within the limit
	 */
	boolean shutDown(Consumer<Long> begin, BooleanSupplier finished, Runnable overdue) {
		if (!this.shuttingDown.compareAndSet(false, true)) {
			return true;
		}
		this.context.log().record(LogEvent.SHUTDOWN_STARTED, id(), "what is in progress goes on");
		long limitMillis = BatchIntervals.shutdownMillis(this.context.settings());
		this.loop.put(() -> begin.accept(limitMillis));
		long endNanos = now().nanos() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
		while (now().nanos() < endNanos) {
			if (holds(finished)) {
				return true;
			}
		}
		this.loop.put(overdue);
		holds(finished);
		this.context.log()
			.record(LogEvent.SHUTDOWN_OVERDUE, id(), "the limit of " + limitMillis + " ms ended the wait");
		return false;
	}

	private boolean holds(BooleanSupplier condition) {
		CountDownLatch asked = new CountDownLatch(1);
		AtomicBoolean result = new AtomicBoolean();
		this.loop.put(() -> {
			result.set(condition.getAsBoolean());
			asked.countDown();
		});
		try {
			boolean answered = asked.await(POLL_MILLIS, TimeUnit.MILLISECONDS);
			new CountDownLatch(1).await(POLL_MILLIS, TimeUnit.MILLISECONDS);
			return answered && result.get();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

	@Override
	public void close() {
		this.announcer.stop();
		this.loop.close();
		this.links.close();
		this.operators.close();
		this.context.log().record(LogEvent.STOPPED, id(), "all ports are closed");
	}

	/**
	 * What a process does with events.
	 *
	 * @param settle called on the decision thread after the work that waited has run
	 * @param tick called on the decision thread every 20 ms, less often without work
	 * @param listener receives messages and events of the links
	 * @param former receives what an earlier incarnation announced
	 */
	record Parts(Runnable settle, Runnable tick, LinkListener listener, Consumer<String> former) {

	}

	private final class Operators implements OperatorSource {

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
			return BatchProcess.this.context.log().recent();
		}

		@Override
		public MetricRegistry metrics() {
			return BatchProcess.this.context.metrics().registry();
		}

		@Override
		public void drain() {
			askShutdown();
		}

	}

}
