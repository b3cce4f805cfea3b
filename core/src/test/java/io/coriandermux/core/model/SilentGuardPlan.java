package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.run.RunId;

/**
 * Submits batches of several tasks to a cluster. Guards whose endpoint has just started a
 * run are struck by faults that keep them from their endpoint, the entries or the store
 * for 1.1 to 1.5 s (issue 43).
 */
final class SilentGuardPlan {

	private static final long LOAD_MILLIS = 6_000;

	private static final long SETTLE_MILLIS = 4_000;

	private static final long BATCH_INTERVAL_MILLIS = 60;

	private static final int MAX_TASKS = 4;

	private static final int MIN_SLOTS = 4;

	private static final int SLOT_RANGE = 3;

	/** The run times of the deployment in milliseconds. */
	private static final long[] RUN_MILLIS = { 73, 243, 1_086 };

	private static final int STRUCK_STARTS = 6;

	/** Of this number of guards one is silent at a time, so that batches go on. */
	private static final int GUARDS_PER_SILENT_ONE = 3;

	/** Within this time the answer to the start order and a poll are on their way. */
	private static final long STRIKE_RANGE_MILLIS = 8;

	private static final long MIN_SILENT_MILLIS = 1_100;

	private static final long SILENT_RANGE_MILLIS = 400;

	private static final int MAX_FOREIGN_HEARTBEATS = 3;

	private static final long MIN_DOWN_MILLIS = 20;

	private static final long DOWN_RANGE_MILLIS = 1_080;

	private static final long STOP_LIMIT_MILLIS = 5_300;

	/** An entry reads a change of the store within this time. */
	private static final long LIST_RANGE_MILLIS = 300;

	private static final long HELD_RANGE_MILLIS = 600;

	private static final double UNANSWERED_SHARE = 0.04;

	private static final long MIN_LATE_MILLIS = 2_000;

	private static final long LATE_RANGE_MILLIS = 10_000;

	/** Orders without an answer after 150 ms count as unanswered. */
	private static final long MAX_ANSWER_DELAY_MILLIS = 200;

	private static final int LATE_ANSWERS = 4;

	private static final long MAX_ENTRY_PAUSE_MILLIS = 1_500;

	/** Callers wait for 1.5 s. */
	private static final long WAIT_MILLIS = 1_500;

	private static final long NEVER_MILLIS = 60_000;

	private static final long OLD_MILLIS = 16_500;

	private static final long YOUNG_MILLIS = 4_000;

	/** Processes become complete 15 s after their start. */
	private static final long COMPLETING_MILLIS = 12_500;

	private static final long COMPLETING_RANGE_MILLIS = 3_000;

	private static final long START_RANGE_MILLIS = 1_000;

	private final SplittableRandom random;

	private final Set<GuardFault> faults;

	private final Set<Surroundings> surroundings;

	private final ClusterModel model;

	private final Map<ModelGuard, Long> struckUntilNanos = new HashMap<>();

	/** The tasks that were active at a guard when it was struck, with that time. */
	private final Map<RunId, Long> struckNanos = new HashMap<>();

	private final List<SecondStart> secondStarts = new ArrayList<>();

	private int lastBatch;

	/**
	 * Creates a cluster of two to four entries and three to eight guards.
	 * @param seed seed of the cluster and of the faults
	 * @param faults the faults that strike a guard together
	 * @param surroundings the circumstances
	 */
	SilentGuardPlan(long seed, Set<GuardFault> faults, Set<Surroundings> surroundings) {
		this.random = new SplittableRandom(seed);
		this.faults = faults;
		this.surroundings = surroundings;
		long ageMillis = surroundings.contains(Surroundings.YOUNG) ? YOUNG_MILLIS : OLD_MILLIS;
		if (surroundings.contains(Surroundings.COMPLETING)) {
			ageMillis = COMPLETING_MILLIS + this.random.nextLong(COMPLETING_RANGE_MILLIS);
		}
		this.model = new ClusterModel(this.random.nextLong(), 2 + this.random.nextInt(3), 3 + this.random.nextInt(6),
				MIN_SLOTS + this.random.nextInt(SLOT_RANGE), ageMillis, START_RANGE_MILLIS);
		if (this.random.nextBoolean()) {
			this.model.callers()
				.setWait(WAIT_MILLIS, () -> this.random.nextBoolean() ? NEVER_MILLIS : this.random.nextLong(20));
		}
	}

	/**
	 * Plays the load and the faults.
	 * @return the cluster afterwards
	 */
	ClusterModel play() {
		long endNanos = this.model.clock().nanos() + LOAD_MILLIS * ModelClock.NANOS_PER_MILLI;
		for (ModelGuard guard : this.model.guards()) {
			guard.endpoint().setFates(this::fate);
			if (this.surroundings.contains(Surroundings.LATE_ANSWERS)) {
				guard.endpoint().setAnswerDelay(this::answerDelayMillis);
			}
			guard.endpoint().setStartListener((run) -> onStarted(guard, run, endNanos));
		}
		submitPeriodically(endNanos);
		this.model.advance(LOAD_MILLIS);
		this.model.clearFates();
		this.model.advance(SETTLE_MILLIS);
		return this.model;
	}

	private void submitPeriodically(long endNanos) {
		this.model.clock().afterMillis(1 + this.random.nextLong(2 * BATCH_INTERVAL_MILLIS), () -> {
			if (this.model.clock().nanos() >= endNanos) {
				return;
			}
			this.lastBatch++;
			this.model.callers()
				.submit(pick(this.model.entries()), "batch-" + this.lastBatch, 1 + this.random.nextInt(MAX_TASKS),
						RUN_MILLIS[this.random.nextInt(RUN_MILLIS.length)]);
			submitPeriodically(endNanos);
		});
	}

	private void onStarted(ModelGuard guard, RunId run, long endNanos) {
		long nowNanos = this.model.clock().nanos();
		Optional.ofNullable(this.struckNanos.remove(RunChecker.task(run)))
			.ifPresent((struck) -> this.secondStarts
				.add(new SecondStart((nowNanos - struck) / ModelClock.NANOS_PER_MILLI, run.attempt())));
		if (nowNanos >= endNanos || nowNanos < this.struckUntilNanos.getOrDefault(guard, 0L)
				|| countStruck(nowNanos) >= this.model.guards().size() / GUARDS_PER_SILENT_ONE
				|| this.random.nextInt(STRUCK_STARTS) != 0) {
			return;
		}
		long silentMillis = MIN_SILENT_MILLIS + this.random.nextLong(SILENT_RANGE_MILLIS);
		this.struckUntilNanos.put(guard, nowNanos + 2 * silentMillis * ModelClock.NANOS_PER_MILLI);
		this.model.clock().after(this.random.nextLong(STRIKE_RANGE_MILLIS * ModelClock.NANOS_PER_MILLI), () -> {
			guard.endpoint()
				.activeRuns()
				.forEach((active) -> this.struckNanos.putIfAbsent(RunChecker.task(active), this.model.clock().nanos()));
			this.faults.forEach((fault) -> strike(guard, fault, silentMillis));
			surround(run);
		});
	}

	private long countStruck(long nowNanos) {
		return this.struckUntilNanos.values().stream().filter((untilNanos) -> nowNanos < untilNanos).count();
	}

	private void strike(ModelGuard guard, GuardFault fault, long silentMillis) {
		if (!guard.isUp()) {
			return;
		}
		switch (fault) {
			case PAUSE -> guard.pause(silentMillis, true);
			case ENDPOINT_CUT -> separate(guard.endpoint(), OrderFate.LOST, silentMillis);
			case ANSWERS_LOST -> separate(guard.endpoint(), OrderFate.UNANSWERED, silentMillis);
			case ENTRIES_HEAR_NOTHING ->
				this.model.entries().forEach((entry) -> this.model.link(entry, guard).silenceToFirst(silentMillis));
			case GUARD_HEARS_NOTHING ->
				this.model.entries().forEach((entry) -> this.model.link(entry, guard).silenceToSecond(silentMillis));
			case UNLISTED -> this.model.entries().forEach((entry) -> unlist(entry, guard, silentMillis));
			case RESTART -> {
				guard.kill();
				this.model.clock().afterMillis(MIN_DOWN_MILLIS + this.random.nextLong(DOWN_RANGE_MILLIS), guard::start);
			}
			case STOP -> guard.stop(STOP_LIMIT_MILLIS, MIN_DOWN_MILLIS + this.random.nextLong(DOWN_RANGE_MILLIS));
			case FOREIGN_HEARTBEAT -> sendForeignHeartbeats(guard, silentMillis);
			default -> throw new IllegalArgumentException(fault.name());
		}
	}

	private void separate(ModelEndpoint endpoint, OrderFate fate, long millis) {
		this.model.trace().add(endpoint.name(), "FAULT orders get " + fate + " for " + millis + " ms");
		endpoint.setFates((kind, run) -> fate);
		this.model.clock().afterMillis(millis, () -> endpoint.setFates(this::fate));
	}

	private void sendForeignHeartbeats(ModelGuard guard, long silentMillis) {
		String idSuffix = this.random.nextBoolean() ? "-other" : "";
		long laterMillis = (idSuffix.isEmpty() || this.random.nextBoolean()) ? 1 + this.random.nextLong(10_000) : 0;
		for (int remaining = 1 + this.random.nextInt(MAX_FOREIGN_HEARTBEATS); remaining > 0; remaining--) {
			this.model.clock().afterMillis(this.random.nextLong(silentMillis), () -> {
				EndpointReport own = guard.endpoint().report();
				EndpointIncarnation other = new EndpointIncarnation(own.incarnation().id() + idSuffix,
						own.incarnation().startedAtMillis() + laterMillis);
				guard.log("FAULT heartbeat of " + other);
				guard.receive(new EndpointReport(other, own.sequence(), own.pool(), own.labels(), own.capacity(),
						own.draining()));
			});
		}
	}

	private void unlist(ModelEntry entry, ModelGuard guard, long silentMillis) {
		long lateMillis = this.random.nextLong(LIST_RANGE_MILLIS);
		this.model.clock().afterMillis(lateMillis, () -> entry.setAnnounced(guard.id(), false));
		// A guard announces itself again within 2 s after its lease has ended.
		this.model.clock()
			.afterMillis(silentMillis + LIST_RANGE_MILLIS + this.random.nextLong(2_000),
					() -> entry.setAnnounced(guard.id(), true));
	}

	private void surround(RunId run) {
		if (this.surroundings.contains(Surroundings.HELD_REQUEST)) {
			this.model.clock()
				.afterMillis(this.random.nextLong(HELD_RANGE_MILLIS),
						() -> this.model.callers().deliverEarlierRequest(run.batch(), pick(this.model.entries())));
		}
		if (this.surroundings.contains(Surroundings.ENTRY_PAUSE)) {
			boolean withInput = this.random.nextBoolean();
			long millis = 1 + this.random.nextLong(MAX_ENTRY_PAUSE_MILLIS);
			this.model.callers()
				.entryOf(run.batch())
				.filter(ModelEntry::isUp)
				.ifPresent((entry) -> entry.pause(millis, withInput));
		}
		if (this.surroundings.contains(Surroundings.CALLERS_RETURN)) {
			boolean told = this.random.nextBoolean();
			this.model.callers().entryOf(run.batch()).ifPresent((entry) -> {
				if (told) {
					this.model.callers().reset(entry);
				}
				else {
					this.model.callers().leaveHalfOpen(entry);
				}
			});
		}
	}

	private long answerDelayMillis() {
		return (this.random.nextInt(LATE_ANSWERS) != 0) ? 0 : this.random.nextLong(MAX_ANSWER_DELAY_MILLIS);
	}

	private OrderFate fate(OrderKind kind, RunId run) {
		if (!this.surroundings.contains(Surroundings.UNANSWERED_ORDERS)
				|| this.random.nextDouble() >= UNANSWERED_SHARE) {
			return OrderFate.NORMAL;
		}
		return OrderFate.lateBy(MIN_LATE_MILLIS + this.random.nextLong(LATE_RANGE_MILLIS), this.random.nextBoolean());
	}

	private <T> T pick(List<T> list) {
		return list.get(this.random.nextInt(list.size()));
	}

	/**
	 * Returns the number of tasks that were active at a guard when it was struck.
	 * @return the number
	 */
	int struckTasks() {
		return this.struckNanos.size() + this.secondStarts.size();
	}

	/**
	 * Returns the first later start of each of these tasks.
	 * @return the starts
	 */
	List<SecondStart> secondStarts() {
		return this.secondStarts;
	}

	/**
	 * The start of a task that was active at a guard when it was struck.
	 *
	 * @param afterMillis time since the guard was struck, in milliseconds
	 * @param number number of the run
	 */
	record SecondStart(long afterMillis, long number) {

	}

}
