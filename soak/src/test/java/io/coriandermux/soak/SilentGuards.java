package io.coriandermux.soak;

import java.io.IOException;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.coriandermux.platform.standin.RunnerStandIn;

/**
 * Makes the guard of a run that has just started silent, as in the records of issue 43: a
 * guard starts runs and does not poll its endpoint for 1.1 to 1.5 s.
 */
final class SilentGuards {

	/** While several runs start at the guard, or before the answer to the first one. */
	private static final int STRIKE_RANGE_MILLIS = 8;

	private static final int MIN_SILENT_MILLIS = 1_100;

	private static final int SILENT_RANGE_MILLIS = 400;

	private static final int MIN_RESTART_DELAY_MILLIS = 20;

	private static final int RESTART_DELAY_RANGE_MILLIS = 1_080;

	/** The second starts of the records follow the first ones by 27 to 511 ms. */
	private static final int HEARTBEAT_RANGE_MILLIS = 500;

	private static final int UNANSWERED_PERCENT = 4;

	private static final int MIN_LATE_MILLIS = 2_000;

	private static final int LATE_RANGE_MILLIS = 10_000;

	private final Cluster cluster;

	private final ScheduledExecutorService scheduler;

	private final GuaranteeChecker checker;

	private final Consumer<String> trace;

	private final LongConsumer disturbance;

	/**
	 * Creates the faults of a run.
	 * @param cluster the processes
	 * @param scheduler begins and ends faults
	 * @param checker receives failures of the soak itself
	 * @param trace receives a line for each fault
	 * @param disturbance receives for how many milliseconds a fault disturbs the system
	 */
	SilentGuards(Cluster cluster, ScheduledExecutorService scheduler, GuaranteeChecker checker, Consumer<String> trace,
			LongConsumer disturbance) {
		this.cluster = cluster;
		this.scheduler = scheduler;
		this.checker = checker;
		this.trace = trace;
		this.disturbance = disturbance;
	}

	/** What happens to the guard. */
	enum Mode {

		/** The process is paused. */
		PAUSE,

		/** Its link to the endpoint delivers nothing. */
		ENDPOINT_CUT,

		/** Orders reach the endpoint, but no answer reaches the guard. */
		ANSWERS_LOST,

		/** Orders and answers are held and delivered when the fault is over. */
		ENDPOINT_HELD,

		/** Entries receive nothing from the guard. */
		ENTRIES_HEAR_NOTHING,

		/** The guard receives nothing from entries. */
		GUARD_HEARS_NOTHING,

		/** The store ends the lease of its announcement, and nothing else happens. */
		UNLISTED,

		/** The process is killed and restarted after 20 ms to 1.1 s. */
		RESTART,

		/** The process is shut down in order and restarted. */
		STOP

	}

	/**
	 * Strikes the guard of the next run that starts.
	 * @param choice the source of the fault
	 */
	void strikeNext(Random choice) {
		Mode mode = Mode.values()[choice.nextInt(Mode.values().length)];
		boolean unlisted = mode == Mode.UNLISTED || choice.nextInt(3) == 0;
		boolean unanswered = choice.nextInt(3) == 0;
		long delayMillis = choice.nextInt(STRIKE_RANGE_MILLIS);
		long silentMillis = MIN_SILENT_MILLIS + choice.nextInt(SILENT_RANGE_MILLIS);
		long restartMillis = MIN_RESTART_DELAY_MILLIS + choice.nextInt(RESTART_DELAY_RANGE_MILLIS);
		long seed = choice.nextLong();
		if (unanswered) {
			leaveUnanswered(silentMillis);
		}
		this.cluster.starts()
			.awaitStart((number) -> this.scheduler.schedule(
					() -> strike(number, mode, unlisted, (mode == Mode.RESTART) ? restartMillis : silentMillis, seed),
					delayMillis, TimeUnit.MILLISECONDS));
	}

	/**
	 * Sends a heartbeat of another writer to the guard of the next run that starts.
	 * @param kind what differs in it
	 * @param choice the source of the delay
	 */
	void sendForeignHeartbeat(RunnerStandIn.ForeignHeartbeat kind, Random choice) {
		long delayMillis = choice.nextInt(HEARTBEAT_RANGE_MILLIS);
		this.cluster.starts().awaitStart((number) -> this.scheduler.schedule(() -> {
			this.disturbance.accept(0);
			this.cluster.endpoints().get(number).sendForeignHeartbeat(kind);
		}, delayMillis, TimeUnit.MILLISECONDS));
	}

	private void leaveUnanswered(long millis) {
		this.disturbance.accept(millis + MIN_LATE_MILLIS + LATE_RANGE_MILLIS);
		this.trace.accept(UNANSWERED_PERCENT + "% of the orders are not answered for " + millis + " ms");
		RunnerStandIn.LateOrders late = new RunnerStandIn.LateOrders(UNANSWERED_PERCENT, true, false, MIN_LATE_MILLIS,
				LATE_RANGE_MILLIS);
		this.cluster.endpoints().forEach((endpoint) -> endpoint.setLateOrders(late));
		endAfter(millis, () -> this.cluster.endpoints()
			.forEach((endpoint) -> endpoint.setLateOrders(RunnerStandIn.LateOrders.NONE)));
	}

	private void strike(int number, Mode mode, boolean unlisted, long millis, long seed) {
		SystemProcess guard = this.cluster.guards().get(number);
		this.disturbance.accept(millis);
		this.trace.accept("silent " + guard.name() + " " + mode + (unlisted ? ", unlisted" : "") + " for " + millis
				+ " ms after a start");
		try {
			strike(guard, number, mode, millis, seed);
			if (unlisted) {
				this.cluster.store().revoke((key) -> key.endsWith("/" + guard.name()));
			}
		}
		catch (IOException ex) {
			this.checker.reportViolation("SOAK", "a fault could not be begun: " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void strike(SystemProcess guard, int number, Mode mode, long millis, long seed)
			throws IOException, InterruptedException {
		switch (mode) {
			case PAUSE -> {
				guard.pause();
				endAfter(millis, guard::resume);
			}
			case ENDPOINT_CUT -> impair(this.cluster.endpointLink(number), FaultProxy.Mode.SILENT, millis);
			case ANSWERS_LOST -> impair(this.cluster.endpointLink(number), FaultProxy.Mode.CUT_BACK, millis);
			case ENDPOINT_HELD -> this.cluster.endpointLink(number).ifPresent((link) -> {
				link.impair(FaultProxy.Mode.HOLD, FaultProxy.ResetSide.NONE, 100, seed);
				endAfter(millis, () -> link.release(seed));
			});
			case ENTRIES_HEAR_NOTHING -> impair(this.cluster.guardLink(number), FaultProxy.Mode.CUT_BACK, millis);
			case GUARD_HEARS_NOTHING -> impair(this.cluster.guardLink(number), FaultProxy.Mode.CUT_FORTH, millis);
			case RESTART -> {
				guard.kill();
				guard.awaitEnd(Cluster.GRACE_MILLIS);
				endAfter(millis, guard::start);
			}
			case STOP -> {
				guard.terminate();
				if (!guard.awaitEnd(Cluster.GRACE_MILLIS)) {
					guard.kill();
					guard.awaitEnd(Cluster.GRACE_MILLIS);
				}
				guard.start();
			}
			case UNLISTED -> {
				// The lease is revoked in this mode and beside others.
			}
			default -> throw new IllegalArgumentException(mode.name());
		}
	}

	// In a large cluster not all links have a proxy.
	private void impair(Optional<FaultProxy> link, FaultProxy.Mode mode, long millis) {
		link.ifPresent((proxy) -> {
			proxy.setMode(mode);
			endAfter(millis, () -> proxy.setMode(FaultProxy.Mode.PASS));
		});
	}

	private void endAfter(long millis, FaultEnd end) {
		this.scheduler.schedule(() -> {
			try {
				end.run();
			}
			catch (IOException ex) {
				this.checker.reportViolation("SOAK", "a fault could not be ended: " + ex.getMessage());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	@FunctionalInterface
	private interface FaultEnd {

		void run() throws IOException, InterruptedException;

	}

}
