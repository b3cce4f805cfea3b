package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

import io.coriandermux.core.run.RunId;

/**
 * A cluster of entries with the real batch dispatcher and guards with the real lease
 * manager in virtual time. The same seed leads to the same events.
 */
final class ClusterModel {

	/** Whether the guards know claims; the entries claim nothing otherwise. */
	static final boolean CLAIMS = true;

	private static final double MAX_CLOCK_DEVIATION = 0.02;

	/** Time in which all links are established and all endpoints are known. */
	private static final long START_MILLIS = 4_000;

	/** Time after which the guards are old enough to know all claims. */
	private static final long CLAIMS_KNOWN_MILLIS = 16_000;

	/** One of this number of clusters takes up work while its guards are young. */
	private static final int YOUNG_CLUSTERS = 4;

	private final ModelClock clock = new ModelClock();

	private final ModelTrace trace = new ModelTrace(this.clock);

	private final RunChecker checker = new RunChecker(this.clock, this.trace);

	private final List<ModelEntry> entries = new ArrayList<>();

	private final List<ModelGuard> guards = new ArrayList<>();

	private final List<ModelLink> links = new ArrayList<>();

	private final List<ModelLink> entryLinks = new ArrayList<>();

	private final SplittableRandom random;

	private final ModelCallers callers;

	private ModelEntry resubmissionTarget;

	private ModelGuard affected;

	/**
	 * Creates a cluster and lets it run until all endpoints are known to all entries.
	 * @param seed seed of delays and clocks
	 * @param entryCount number of entries
	 * @param guardCount number of guards
	 * @param slots number of runs for which each endpoint has room
	 */
	ClusterModel(long seed, int entryCount, int guardCount, int slots) {
		this(seed, entryCount, guardCount, slots, false,
				(CLAIMS && seed % YOUNG_CLUSTERS != 0) ? CLAIMS_KNOWN_MILLIS : START_MILLIS, 0);
	}

	/**
	 * Creates a cluster whose processes start within a range of time and have run for a
	 * given time.
	 * @param seed seed of delays and clocks
	 * @param entryCount number of entries
	 * @param guardCount number of guards
	 * @param slots number of runs for which each endpoint has room
	 * @param ageMillis time since the first start in milliseconds
	 * @param startRangeMillis time within which the processes start, in milliseconds
	 */
	ClusterModel(long seed, int entryCount, int guardCount, int slots, long ageMillis, long startRangeMillis) {
		this(seed, entryCount, guardCount, slots, false, ageMillis, startRangeMillis);
	}

	private ClusterModel(long seed, int entryCount, int guardCount, int slots, boolean slowestClocks, long ageMillis,
			long startRangeMillis) {
		this.random = new SplittableRandom(seed);
		this.callers = new ModelCallers(this.clock, this.trace, this::nextEntry);
		for (int i = 0; i < entryCount; i++) {
			ModelEntry entry = new ModelEntry("entry-" + i, this.clock, this.trace, this.random.split());
			entry.setCallers(this.callers);
			this.entries.add(entry);
		}
		for (int i = 0; i < guardCount; i++) {
			double deviation = MAX_CLOCK_DEVIATION * (slowestClocks ? 1 : this.random.nextDouble());
			ModelEndpoint endpoint = new ModelEndpoint("endpoint-" + i, slots, 1 - deviation, this.clock, this.trace,
					this.random.split(), this.checker);
			this.guards
				.add(new ModelGuard("guard-" + i, endpoint, this.clock, this.trace, this.random.split(), this.checker));
		}
		for (ModelEntry entry : this.entries) {
			this.guards.forEach((guard) -> this.links
				.add(ModelLink.between(entry, guard, this.clock, this.random.split(), this.checker)));
		}
		linkEntries(new SplittableRandom(seed + 1));
		if (startRangeMillis > 0) {
			this.entries.forEach((entry) -> startWithin(entry, startRangeMillis));
			this.guards.forEach((guard) -> startWithin(guard, startRangeMillis));
		}
		else {
			this.entries.forEach(ModelEntry::start);
			this.guards.forEach(ModelGuard::start);
			this.guards.forEach(ModelGuard::report);
		}
		advance(ageMillis);
	}

	private void startWithin(ModelProcess process, long rangeMillis) {
		this.clock.afterMillis(this.random.nextLong(rangeMillis), process::start);
	}

	private void linkEntries(SplittableRandom linkRandom) {
		for (int i = 0; i < this.entries.size(); i++) {
			for (int j = i + 1; j < this.entries.size(); j++) {
				this.entryLinks
					.add(ModelLink.between(this.entries.get(i), this.entries.get(j), this.clock, linkRandom.split()));
			}
		}
	}

	/**
	 * Creates a cluster of two entries and two guards whose endpoints have room for one
	 * run each, so that a task that is submitted again runs at the other endpoint.
	 * @return the cluster
	 */
	static ClusterModel small() {
		return new ClusterModel(1, 2, 2, 1, false, CLAIMS_KNOWN_MILLIS, 0);
	}

	/**
	 * Creates a small cluster whose endpoints' clocks are as slow as they may be.
	 * @return the cluster
	 */
	static ClusterModel smallWithSlowClocks() {
		return new ClusterModel(1, 2, 2, 1, true, CLAIMS_KNOWN_MILLIS, 0);
	}

	ModelClock clock() {
		return this.clock;
	}

	ModelTrace trace() {
		return this.trace;
	}

	ModelCallers callers() {
		return this.callers;
	}

	List<ModelEntry> entries() {
		return this.entries;
	}

	List<ModelGuard> guards() {
		return this.guards;
	}

	List<ModelLink> links() {
		return this.links;
	}

	List<ModelLink> entryLinks() {
		return this.entryLinks;
	}

	ModelEntry entry(int index) {
		return this.entries.get(index);
	}

	ModelLink link(ModelEntry entry, ModelGuard guard) {
		return this.links.get(this.entries.indexOf(entry) * this.guards.size() + this.guards.indexOf(guard));
	}

	void advance(long millis) {
		this.clock.advanceMillis(millis);
	}

	void submit(ModelEntry entry, String batch, long runMillis) {
		this.callers.submit(entry, batch, 1, runMillis);
	}

	/**
	 * Sets the entry to which callers submit their batches again.
	 * @param entry the entry
	 */
	void resubmitTo(ModelEntry entry) {
		this.resubmissionTarget = entry;
	}

	/**
	 * Applies a fault to the endpoint that receives the next start order.
	 * @param fates what happens to this order and to the following ones
	 */
	void setFatesFromNextStart(BiFunction<OrderKind, RunId, OrderFate> fates) {
		for (ModelGuard guard : this.guards) {
			guard.endpoint().setFates((kind, run) -> {
				if (kind != OrderKind.START) {
					return OrderFate.NORMAL;
				}
				clearFates();
				this.affected = guard;
				guard.endpoint().setFates(fates);
				return fates.apply(kind, run);
			});
		}
	}

	/**
	 * Returns the guard whose endpoint has received the start order with the fault.
	 * @return the guard
	 */
	ModelGuard affected() {
		return this.affected;
	}

	/**
	 * Ends the faults of all endpoints.
	 */
	void clearFates() {
		this.guards.forEach((guard) -> guard.endpoint().setFates((kind, run) -> OrderFate.NORMAL));
	}

	/**
	 * Returns the guard at whose endpoint a run of a batch is active.
	 * @param batch the batch
	 * @return the guard, empty if no run is active
	 */
	Optional<ModelGuard> holder(String batch) {
		return this.guards.stream()
			.filter((guard) -> guard.endpoint().activeRuns().stream().anyMatch((run) -> isOf(run, batch)))
			.findFirst();
	}

	private static boolean isOf(RunId run, String batch) {
		return run.batch().value().equals(batch);
	}

	RunChecker checker() {
		return this.checker;
	}

	List<RunChecker.Violation> violations() {
		return this.checker.violations();
	}

	List<String> prematureEnds() {
		return this.checker.prematureEnds();
	}

	private ModelEntry nextEntry() {
		if (this.resubmissionTarget != null) {
			return this.resubmissionTarget;
		}
		return this.entries.get(this.random.nextInt(this.entries.size()));
	}

}
