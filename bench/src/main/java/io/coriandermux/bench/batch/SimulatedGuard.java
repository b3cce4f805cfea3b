package io.coriandermux.bench.batch;

import io.coriandermux.bench.policy.VirtualTime;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.lease.LeaseManager;
import io.coriandermux.core.lease.LeaseSettings;
import io.coriandermux.core.message.Message;

/**
 * A guard that runs the lease manager beside a simulated endpoint, and its links to the
 * entries.
 */
final class SimulatedGuard {

	/** One way to an entry of the same availability zone, with processing. */
	private static final long ZONE_DELAY_NANOS = 500_000;

	/** One way to an entry of another availability zone, with processing. */
	private static final long CROSS_ZONE_DELAY_NANOS = 1_700_000;

	private static final int ZONES = 3;

	private static final long MAX_LEASE_MILLIS = 1000;

	private final int number;

	private final BatchSimulation simulation;

	private final VirtualTime time;

	private final SimulatedEndpoint endpoint;

	private LeaseManager leaseManager;

	private long incarnation;

	SimulatedGuard(int number, BatchSimulation simulation) {
		this.number = number;
		this.simulation = simulation;
		this.time = simulation.time();
		this.endpoint = new SimulatedEndpoint(number, simulation);
	}

	GuardId id() {
		return new GuardId("guard-" + this.number);
	}

	double busyMillicoreNanos() {
		return this.endpoint.busyMillicoreNanos();
	}

	private Incarnation incarnation() {
		return new Incarnation(this.incarnation);
	}

	void start() {
		this.incarnation++;
		this.leaseManager = new LeaseManager(LeaseSettings.of(MAX_LEASE_MILLIS), this.incarnation, this.endpoint,
				this::send, (notice) -> {
				});
		this.endpoint.connect(this.leaseManager);
		this.simulation.entries().stream().filter(SimulatedEntry::isUp).forEach(this::connect);
	}

	void stop() {
		this.leaseManager = null;
		this.simulation.entries().forEach((entry) -> entry.onGuardLost(id(), incarnation()));
	}

	/**
	 * Opens the link to an entry if the guard runs.
	 * @param entry the entry
	 */
	void connect(SimulatedEntry entry) {
		if (this.leaseManager != null) {
			entry.onGuardConnected(id(), incarnation());
			this.leaseManager.onEntryConnected(entry.id(), entry.incarnation(), this.time.now());
		}
	}

	/**
	 * Delivers a message after the delay of the link.
	 * @param entry the sender
	 * @param message the message
	 */
	void receive(SimulatedEntry entry, Message message) {
		Incarnation sender = entry.incarnation();
		LeaseManager receiver = this.leaseManager;
		this.time.scheduleAfter(delayNanos(entry), () -> {
			if (receiver != null && receiver == this.leaseManager) {
				receiver.onMessage(entry.id(), sender, message, this.time.now());
			}
		});
	}

	private void send(EntryId receiver, Message message) {
		Incarnation sender = incarnation();
		this.simulation.entries().stream().filter((entry) -> entry.id().equals(receiver)).forEach((entry) -> {
			Incarnation receiverIncarnation = entry.incarnation();
			this.time.scheduleAfter(delayNanos(entry), () -> {
				if (entry.incarnation().equals(receiverIncarnation)) {
					entry.onMessage(id(), sender, message);
				}
			});
		});
	}

	private long delayNanos(SimulatedEntry entry) {
		int zone = Integer.parseInt(entry.id().value().substring("entry-".length())) % ZONES;
		return (zone == this.number % ZONES) ? ZONE_DELAY_NANOS : CROSS_ZONE_DELAY_NANOS;
	}

	void tick() {
		if (this.leaseManager != null) {
			this.leaseManager.tick(this.time.now());
		}
	}

}
