package io.coriandermux.daemon.batch;

import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.lease.LeaseManager;
import io.coriandermux.core.lease.LeaseSettings;
import io.coriandermux.core.lease.OrderResult;
import io.coriandermux.core.lease.Poll;
import io.coriandermux.core.lease.PollAnswer;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.run.RunId;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.daemon.run.Shell;
import io.coriandermux.daemon.settings.BatchGuardSettings;
import io.coriandermux.store.Store;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.TimeSource;

/**
 * A guard process whose endpoint runs tasks under a lease.
 */
public final class BatchGuardShell implements Shell {

	private final BatchProcess process;

	private final LeaseManager leaseManager;

	/** Entries whose link is established. Used by the decision thread only. */
	private final ConnectedPeers connectedPeers;

	/** Written by the decision thread, read by the threads that read metrics. */
	private volatile OptionalLong oldestConfirmation = OptionalLong.empty();

	/**
	 * Incarnation of the endpoint in the announcement. Used by the decision thread only.
	 */
	private EndpointIncarnation announcedIncarnation;

	/**
	 * Binds the ports and starts the process.
	 * @param settings the settings
	 * @param time the clock of the process
	 * @param store the store in which the process announces itself; closed by the caller
	 * @param endpoint connects to the endpoint
	 * @throws IOException if a port cannot be bound
	 */
	public BatchGuardShell(BatchGuardSettings settings, TimeSource time, Store store, EndpointConnector endpoint)
			throws IOException {
		this.process = new BatchProcess(PeerRole.GUARD, settings.process(), time, store, new BatchProcess.EventHandlers(
				DecisionLoop.NO_AFTER_BATCH_ACTION, this::tick, new Listener(), this::restoreReport));
		this.connectedPeers = new ConnectedPeers(this.process.links()::send);
		// The fencing token is the wall clock at the start, so it rises with each
		// incarnation. If the clock was set back, the endpoint refuses the token and the
		// lease manager raises it.
		this.leaseManager = new LeaseManager(LeaseSettings.of(settings.maxLeaseMillis()),
				this.process.context().incarnation().value(), endpoint.connect(new AnswerListener()), this::send,
				this.process::record);
		this.process.context().metrics().registerGauge("sessions.unconfirmed", this::unconfirmedMillis);
		this.process.start(this.leaseManager::status);
	}

	/**
	 * Returns the context that the components of the process share.
	 * @return the context
	 */
	public ProcessContext context() {
		return this.process.context();
	}

	/**
	 * Processes a heartbeat of the endpoint.
	 * @param report the contents of the heartbeat
	 * @return whether it was accepted; not if the decision thread is overloaded
	 * @throws MalformedValueException if a field is outside of its range
	 */
	public boolean onHeartbeat(EndpointReport report) throws MalformedValueException {
		ReportLimits.check(report, this.process.now().epochMillis());
		return this.process.loop().offer(() -> {
			this.leaseManager.onHeartbeat(report, this.process.now());
			announceReport();
		});
	}

	// The next incarnation of this process restores the report at its start, without
	// waiting for a heartbeat.
	private void announceReport() {
		this.leaseManager.confirmedReport()
			.filter((report) -> !report.incarnation().equals(this.announcedIncarnation))
			.ifPresent((report) -> {
				this.announcedIncarnation = report.incarnation();
				this.process.announce(report);
			});
	}

	/**
	 * Records that the endpoint has deregistered.
	 * @param endpointId id of the endpoint
	 * @return whether it was accepted; not if the decision thread is overloaded
	 */
	public boolean onEndpointDeregistered(String endpointId) {
		return this.process.loop()
			.offer(() -> this.leaseManager.onEndpointDeregistered(endpointId, this.process.now()));
	}

	@Override
	public int peerPort() {
		return this.process.links().port();
	}

	@Override
	public int operatorsPort() {
		return this.process.operatorsPort();
	}

	@Override
	public void awaitDrainRequestOrFailure() throws InterruptedException {
		this.process.awaitShutdownOrFailure();
	}

	@Override
	public boolean hasFailed() {
		return this.process.loop().hasFailed();
	}

	@Override
	public void requestDrain() {
		this.process.requestShutdown("a signal");
	}

	@Override
	public void reload() {
		this.process.reload();
	}

	@Override
	public boolean drain() {
		return this.process.shutDown((limitMillis) -> this.leaseManager.shutDown(this.process.now()),
				this.leaseManager::isIdle, () -> {
					// The endpoint ends the remaining runs when the lease expires.
				});
	}

	@Override
	public void close() {
		this.process.close();
	}

	private void tick() {
		this.leaseManager.tick(this.process.now());
		this.oldestConfirmation = this.leaseManager.oldestConfirmationNanos();
	}

	// The age is computed when the gauge is read, so it also grows while the decision
	// thread stands still.
	private long unconfirmedMillis() {
		OptionalLong confirmedNanos = this.oldestConfirmation;
		return confirmedNanos.isPresent()
				? TimeUnit.NANOSECONDS.toMillis(this.process.now().nanos() - confirmedNanos.getAsLong()) : 0;
	}

	private void restoreReport(String announcement) {
		try {
			AnnouncementFormat.readReport(announcement, this.process.now().epochMillis())
				.ifPresent((report) -> this.process.loop()
					.put(() -> this.leaseManager.restoreReport(report, this.process.now())));
		}
		catch (MalformedValueException ex) {
			this.process.context().log().record(LogEvent.VALUE_MALFORMED, this.process.id(), ex.getMessage());
		}
	}

	private void send(EntryId entry, Message message) {
		if (message instanceof RunEnded ended) {
			this.process.context().metrics().count("runs.ended." + ended.outcome().name().toLowerCase(Locale.ROOT));
			this.process.context()
				.metrics()
				.recordDuration("runs.time", TimeUnit.MILLISECONDS.toNanos(ended.runMillis()));
		}
		if (message instanceof ClaimAnswer || message instanceof TakeOverAnswer) {
			this.process.context().metrics().count("messages.sent." + message.getClass().getSimpleName());
		}
		// The next incarnation of the entry would take an answer or an end for that of
		// its own claim or run, and a load for one that counts its own orders.
		this.connectedPeers.send(new PeerName(PeerRole.ENTRY, entry.value()), message);
	}

	private final class AnswerListener implements OrderAnswerListener {

		@Override
		public void onStartAnswered(RunId run, OrderResult result, OptionalLong clockMillis) {
			put(() -> BatchGuardShell.this.leaseManager.onStartAnswered(run, result, clockMillis,
					BatchGuardShell.this.process.now()));
		}

		@Override
		public void onStopAnswered(RunId run, OrderResult result, OptionalLong clockMillis) {
			put(() -> BatchGuardShell.this.leaseManager.onStopAnswered(run, result, clockMillis,
					BatchGuardShell.this.process.now()));
		}

		@Override
		public void onPollAnswered(Poll poll, OrderResult result, Optional<PollAnswer> answer) {
			put(() -> {
				BatchGuardShell.this.leaseManager.onPollAnswered(poll, result, answer,
						BatchGuardShell.this.process.now());
				announceReport();
			});
		}

		private void put(Runnable work) {
			BatchGuardShell.this.process.loop().put(work);
		}

	}

	private final class Listener implements LinkListener {

		@Override
		public boolean onConnected(PeerIdentity peer) {
			return offer(() -> {
				BatchGuardShell.this.connectedPeers.onConnected(peer);
				BatchGuardShell.this.context()
					.log()
					.record(LogEvent.LINK_UP, peer.name().toString(), "incarnation " + peer.incarnation().value());
				BatchGuardShell.this.leaseManager.onEntryConnected(new EntryId(peer.name().id()), peer.incarnation(),
						BatchGuardShell.this.process.now());
			});
		}

		@Override
		public boolean onLost(PeerIdentity peer) {
			return offer(() -> {
				BatchGuardShell.this.connectedPeers.onLost(peer);
				BatchGuardShell.this.context()
					.log()
					.record(LogEvent.PEER_LOST, peer.name().toString(), "incarnation " + peer.incarnation().value());
				BatchGuardShell.this.leaseManager.onEntryLost(new EntryId(peer.name().id()), peer.incarnation(),
						BatchGuardShell.this.process.now());
			});
		}

		@Override
		public boolean onMessage(PeerIdentity peer, Message message) {
			if (message instanceof Heartbeat heartbeat) {
				BatchGuardShell.this.process.links().acknowledge(peer, heartbeat.clockNanos());
				return true;
			}
			return offer(() -> {
				if (message instanceof ClaimBatch || message instanceof TakeOverBatch) {
					BatchGuardShell.this.context()
						.metrics()
						.count("messages.received." + message.getClass().getSimpleName());
				}
				BatchGuardShell.this.leaseManager.onMessage(new EntryId(peer.name().id()), peer.incarnation(), message,
						BatchGuardShell.this.process.now());
			});
		}

		@Override
		public void onError(String peer, String reason) {
			BatchGuardShell.this.context().log().record(LogEvent.LINK_FAULT, peer, reason);
		}

		@Override
		public void onDropped(PeerName peer, Message message) {
			BatchGuardShell.this.process.onDropped(peer, message);
		}

		private boolean offer(Runnable work) {
			return BatchGuardShell.this.process.loop().offer(work);
		}

	}

}
