package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;

import io.coriandermux.core.run.RunId;

/**
 * Submits batches to a cluster and injects faults, both drawn from a seed.
 */
final class FaultPlan {

	private static final long LOAD_MILLIS = 10_000;

	private static final long SETTLE_MILLIS = 4_000;

	private static final long BATCH_INTERVAL_MILLIS = 180;

	private static final long FAULT_INTERVAL_MILLIS = 700;

	private static final double ORDER_FAULT_PROBABILITY = 0.08;

	private static final long MAX_OUTAGE_MILLIS = 900;

	private static final long MAX_PAUSE_MILLIS = 2_000;

	private static final long MIN_PAUSE_MILLIS = 200;

	private static final long SHORT_WAIT_MILLIS = 1_500;

	private static final long MAX_DISCONNECT_DELAY_MILLIS = 3_000;

	private static final long MIN_RESTART_MILLIS = 20;

	private static final long RESUBMIT_MILLIS = 1_300;

	/** Callers that wait 1.5 s and come back after 1.3 s have left after 2.8 s. */
	private static final long MAX_HOLD_MILLIS = 3_200;

	private static final long NEVER_MILLIS = 60_000;

	private static final int MAX_SENDS_BEFORE_PAUSE = 6;

	private static final int SLOTS = 3;

	/** With claims, some clusters have more guards than keep the claims of a batch. */
	private static final int GUARD_COUNTS = ClusterModel.CLAIMS ? 6 : 3;

	private static final int MAX_KINDS = 4;

	private static final int MAX_SCALE = 3;

	private final SplittableRandom random;

	private final Set<ModelFault> faults;

	private final ClusterModel model;

	private final int scale;

	private int lastBatch;

	/**
	 * Creates a cluster of two or three entries and two to four guards, with claims to
	 * seven.
	 * @param seed seed of the cluster and of the faults
	 * @param faults the kinds of faults; of more than four, some are drawn
	 */
	FaultPlan(long seed, Set<ModelFault> faults) {
		this.random = new SplittableRandom(seed);
		this.faults = choose(faults);
		this.scale = 1 + this.random.nextInt(MAX_SCALE);
		this.model = new ClusterModel(this.random.nextLong(), 2 + this.random.nextInt(2),
				2 + this.random.nextInt(GUARD_COUNTS), SLOTS);
		if (this.faults.contains(ModelFault.UNREAD_REQUESTS)) {
			this.model.callers().setWait(SHORT_WAIT_MILLIS, () -> this.random.nextLong(MAX_DISCONNECT_DELAY_MILLIS));
		}
		else if (this.faults.contains(ModelFault.HELD_REQUESTS)) {
			this.model.callers()
				.setWait(SHORT_WAIT_MILLIS, () -> this.random.nextBoolean() ? NEVER_MILLIS : this.random.nextLong(20));
		}
	}

	// Few kinds at a time leave most runs alive for long enough to meet the next fault.
	private Set<ModelFault> choose(Set<ModelFault> kinds) {
		if (kinds.size() <= MAX_KINDS) {
			return kinds;
		}
		int count = 2 + this.random.nextInt(MAX_KINDS - 1);
		List<ModelFault> candidates = new ArrayList<>(kinds);
		Set<ModelFault> chosen = EnumSet.noneOf(ModelFault.class);
		while (chosen.size() < count) {
			chosen.add(pick(candidates));
		}
		return chosen;
	}

	Set<ModelFault> faults() {
		return this.faults;
	}

	/**
	 * Plays the load and the faults.
	 * @return the cluster afterwards
	 */
	ClusterModel play() {
		long endNanos = this.model.clock().nanos() + LOAD_MILLIS * ModelClock.NANOS_PER_MILLI;
		this.model.guards().forEach((guard) -> guard.endpoint().setFates(this::fate));
		submitPeriodically(endNanos);
		injectPeriodically(endNanos);
		this.model.advance(LOAD_MILLIS);
		this.model.guards().forEach((guard) -> guard.endpoint().setFates((kind, run) -> OrderFate.NORMAL));
		this.model.advance(SETTLE_MILLIS);
		return this.model;
	}

	private void submitPeriodically(long endNanos) {
		this.model.clock().afterMillis(1 + this.random.nextLong(2 * this.scale * BATCH_INTERVAL_MILLIS), () -> {
			if (this.model.clock().nanos() >= endNanos) {
				return;
			}
			this.lastBatch++;
			this.model.callers()
				.submit(pick(this.model.entries()), "batch-" + this.lastBatch, 1 + this.random.nextInt(2),
						50 + this.scale * this.random.nextLong(200) * this.random.nextLong(12));
			submitPeriodically(endNanos);
		});
	}

	private void injectPeriodically(long endNanos) {
		List<ModelFault> kinds = new ArrayList<>(this.faults);
		this.model.clock().afterMillis(1 + this.random.nextLong(2 * FAULT_INTERVAL_MILLIS), () -> {
			if (this.model.clock().nanos() >= endNanos) {
				return;
			}
			inject(pick(kinds));
			injectPeriodically(endNanos);
		});
	}

	private void inject(ModelFault fault) {
		ModelEntry entry = pick(this.model.entries());
		ModelGuard guard = pick(this.model.guards());
		ModelLink link = this.model.link(entry, guard);
		switch (fault) {
			case RESET -> reset(entry, link);
			case CALLERS_RESET -> this.model.callers().reset(entry);
			case SILENT_LINK -> silence(link);
			case ENTRY_RESTART -> restart(entry, 300 + this.random.nextLong(1_500));
			case GUARD_RESTART -> {
				guard.setReportRestored(this.random.nextInt(4) > 0);
				restart(guard, 300 + this.random.nextLong(1_500));
			}
			case ENTRY_PAUSE -> pause(entry);
			case GUARD_PAUSE -> pause(guard);
			case LATE_TICK -> guard.delayTicks(50 + this.random.nextLong(600));
			case ENDPOINT_RESTART -> restart(guard);
			case MUTE_ENDPOINT -> mute(guard.endpoint());
			case ENTRY_LINK_RESET -> pick(this.model.entryLinks()).reset(outageMillis());
			case SILENT_ENTRY_LINK -> silence(pick(this.model.entryLinks()));
			case HALF_OPEN_CALLERS -> this.model.callers().leaveHalfOpen(entry);
			case UNREAD_REQUESTS -> entry.pause(pauseMillis() + this.random.nextLong(MAX_PAUSE_MILLIS), true);
			case QUICK_ENTRY_RESTART ->
				restart(entry, MIN_RESTART_MILLIS + this.random.nextLong(RESUBMIT_MILLIS - MIN_RESTART_MILLIS));
			case HELD_REQUESTS -> this.model.callers()
				.holdRequests(entry, RESUBMIT_MILLIS + this.random.nextLong(MAX_HOLD_MILLIS - RESUBMIT_MILLIS));
			default -> {
				// Faults of single orders are drawn with each order.
			}
		}
	}

	private void reset(ModelEntry entry, ModelLink link) {
		switch (this.random.nextInt(3)) {
			case 0 -> {
				link.reset(outageMillis());
				this.model.callers().reset(entry);
			}
			case 1 -> {
				this.model.guards().forEach((guard) -> this.model.link(entry, guard).reset(outageMillis()));
				this.model.callers().reset(entry);
			}
			default -> {
				this.model.links().forEach((each) -> each.reset(outageMillis()));
				this.model.entryLinks().forEach((each) -> each.reset(outageMillis()));
				this.model.entries().forEach(this.model.callers()::reset);
			}
		}
	}

	private long outageMillis() {
		return 1 + this.random.nextLong(MAX_OUTAGE_MILLIS);
	}

	private void silence(ModelLink link) {
		if (this.random.nextBoolean()) {
			link.silenceToSecond(pauseMillis());
		}
		else {
			link.silenceToFirst(pauseMillis());
		}
	}

	private void restart(ModelProcess process, long downMillis) {
		if (process.isUp()) {
			process.kill();
			this.model.clock().afterMillis(downMillis, process::start);
		}
	}

	private void restart(ModelGuard guard) {
		ModelEndpoint endpoint = guard.endpoint();
		if (!endpoint.isUp()) {
			return;
		}
		endpoint.crash(this.random.nextBoolean());
		boolean reportsAtOnce = this.random.nextBoolean();
		this.model.clock().afterMillis(50 + this.random.nextLong(1_000), () -> {
			endpoint.restart(this.random.nextInt(4) > 0);
			if (reportsAtOnce && guard.isUp()) {
				guard.report();
			}
		});
	}

	private void pause(ModelProcess process) {
		if (!process.isUp()) {
			return;
		}
		if (this.random.nextBoolean()) {
			process.pauseBeforeSend(this.random.nextInt(MAX_SENDS_BEFORE_PAUSE), pauseMillis(),
					this.random.nextBoolean());
		}
		else {
			process.pause(pauseMillis(), this.random.nextBoolean());
		}
	}

	private void mute(ModelEndpoint endpoint) {
		boolean executed = this.random.nextBoolean();
		endpoint.setFates((kind, run) -> executed ? OrderFate.UNANSWERED : OrderFate.LOST);
		this.model.clock().afterMillis(pauseMillis(), () -> endpoint.setFates(this::fate));
	}

	private long pauseMillis() {
		return MIN_PAUSE_MILLIS + this.random.nextLong(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS);
	}

	private OrderFate fate(OrderKind kind, RunId run) {
		boolean affected = this.faults.contains(ModelFault.LATE_ORDERS)
				|| (kind == OrderKind.START && this.faults.contains(ModelFault.LATE_STARTS));
		if (!affected || this.random.nextDouble() >= ORDER_FAULT_PROBABILITY) {
			return OrderFate.NORMAL;
		}
		return switch (this.random.nextInt(4)) {
			case 0 -> OrderFate.UNANSWERED;
			case 1 -> OrderFate.LOST;
			default ->
				OrderFate.lateBy(2_000 + this.random.nextLong(10_000), this.faults.contains(ModelFault.LATE_GRANTS));
		};
	}

	private <T> T pick(List<T> list) {
		return list.get(this.random.nextInt(list.size()));
	}

}
