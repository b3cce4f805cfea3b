package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.SplittableRandom;

import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.home.Partitions;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.table.Tables;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.trace.TraceEvent;

/**
 * A deterministic simulation of all processes on one clock. The same seed and events
 * produce the same run.
 */
public final class Simulation {

	private static final int TWELVE_BITS = 1 << 12;

	private static final long FORTY_EIGHT_BITS = 1L << 48;

	private static final long CLOCK_START_NANOS = 1_000_000_000L;

	private static final long CLOCK_SPREAD_NANOS = 3_600_000_000_000L;

	/** Interval of tick events. */
	static final long TICK_NANOS = 100_000_000;

	/** Interval of heartbeats. */
	static final long HEARTBEAT_NANOS = 500_000_000;

	/** Time without messages after which the acceptor considers a peer dead. */
	static final long PEER_TIMEOUT_NANOS = 3_000_000_000L;

	/** Delay before a process ends, so that its links send the pending messages. */
	static final long FLUSH_NANOS = 50_000_000;

	private final SplittableRandom random;

	private final LogicFactory logicFactory;

	private final SimulatedClock clock = new SimulatedClock();

	private final Journal journal = new Journal();

	private final Network network = new Network(this);

	private final FakeStore store = new FakeStore(this);

	private final CallerConnections callerConnections = new CallerConnections(this);

	private final TraceExecutor traceExecutor;

	private final Map<String, SimulatedProcess> processes = new LinkedHashMap<>();

	private final Map<GuardId, FakeEndpoint> endpoints = new LinkedHashMap<>();

	private final Map<String, Caller> callers = new LinkedHashMap<>();

	private final Map<String, String> editResults = new LinkedHashMap<>();

	private final Map<Long, Tables> tablesByRevision = new LinkedHashMap<>();

	private final Map<String, Long> clockOffsets = new LinkedHashMap<>();

	private long lastIncarnation = 100;

	/**
	 * Creates a simulation and starts its processes.
	 * @param seed seed of all random delays and choices
	 * @param logicFactory creates the decision logic of the processes under test
	 */
	public Simulation(long seed, LogicFactory logicFactory) {
		this.random = new SplittableRandom(seed);
		this.logicFactory = logicFactory;
		this.traceExecutor = new TraceExecutor(this);
		this.store.put(FakeStore.CONFIG + SimulatedCluster.GUILD, SimulatedCluster.guildDoc());
		this.store.put(FakeStore.CONFIG + SimulatedCluster.CONFIGURATOR, SimulatedCluster.configuratorDoc());
		for (String name : SimulatedCluster.GUARDS) {
			this.endpoints.put(new GuardId(name), new FakeEndpoint(this, new GuardId(name)));
			startProcess(name);
		}
		SimulatedCluster.ENTRIES.forEach(this::startProcess);
	}

	/**
	 * Runs the simulation with the given events.
	 * @param events the events
	 * @param endMillis end of the run in milliseconds
	 * @return the observations
	 */
	public Journal run(List<TraceEvent> events, long endMillis) {
		this.traceExecutor.schedule(events);
		this.clock.runUntil(endMillis * SimulatedClock.NANOS_PER_MILLI);
		this.journal.recordEnd(this.clock.now());
		return this.journal;
	}

	/**
	 * Returns the outcome of each job and edit by its name in the trace.
	 * @return the outcomes as text, empty for a job without an outcome
	 */
	public Map<String, String> outcomes() {
		Map<String, String> outcomes = new LinkedHashMap<>();
		this.callers.forEach((name, caller) -> {
			outcomes.put(name, caller.outcome());
			List<String> replays = caller.replayOutcomes();
			for (int i = 0; i < replays.size(); i++) {
				outcomes.put(name + "/replay-" + (i + 1), replays.get(i));
			}
		});
		outcomes.putAll(this.editResults);
		return outcomes;
	}

	void startProcess(String name) {
		long incarnation = ++this.lastIncarnation;
		SimulatedProcess process = isGuard(name) ? new GuardProcess(this, SimulatedCluster.guard(name, incarnation))
				: new EntryProcess(this, SimulatedCluster.entry(name, incarnation));
		this.processes.put(name, process);
		process.start();
	}

	void killProcess(String name) {
		SimulatedProcess process = this.processes.get(name);
		if (process instanceof EntryProcess entry && !entry.isDead()) {
			this.callerConnections.onEntryEnded(entry);
		}
		process.kill();
	}

	void submitJob(JobPlan plan) {
		Caller caller = new Caller(this, plan);
		this.callers.put(plan.name(), caller);
		caller.start();
	}

	List<Caller> callers() {
		return new ArrayList<>(this.callers.values());
	}

	Caller caller(String name) {
		return this.callers.get(name);
	}

	void startEdit(Operator operator) {
		operator.attemptEdit();
	}

	void recordEditResult(String edit, String result) {
		this.editResults.put(edit, result);
	}

	// Returns the preferred entry if it accepts requests, else a random one that does, or
	// null if none does.
	EntryProcess selectEntry(String preferred) {
		if (this.processes.get(preferred) instanceof EntryProcess entry && !entry.isDead() && !entry.isStopping()) {
			return entry;
		}
		List<EntryProcess> up = new ArrayList<>();
		for (SimulatedProcess process : this.processes.values()) {
			if (process instanceof EntryProcess entry && !entry.isDead() && !entry.isStopping()) {
				up.add(entry);
			}
		}
		return up.isEmpty() ? null : up.get(this.random.nextInt(up.size()));
	}

	void sendRequest(Caller caller, String entry, CallerRequest request) {
		this.callerConnections.sendRequest(caller, entry.equals("away") ? entryOtherThanHome(caller.key()) : entry,
				request);
	}

	// Returns an entry other than the home of a job, so that the request is forwarded.
	private String entryOtherThanHome(JobKey job) {
		String home = storedHomeTable().home(Partitions.of(job)).map((member) -> member.entry().value()).orElse("");
		return SimulatedCluster.ENTRIES.stream().filter((name) -> !name.equals(home)).findFirst().orElseThrow();
	}

	// Reports a step of a job, or of an edit if the job is null.
	void onStep(Step step, SimulatedProcess actor, String peer, JobKey job) {
		this.traceExecutor.onStep(step, actor, peer, job);
	}

	// Reports that an entry has accepted a job.
	void onJobAccepted(SimulatedProcess entry, String subject) {
		this.traceExecutor.onJobAccepted(entry, subject);
	}

	CallerConnections callerConnections() {
		return this.callerConnections;
	}

	HomeTable storedHomeTable() {
		FakeStore.Versioned found = this.store.get("/homes");
		return (found != null) ? homeTable(found) : HomeTable.EMPTY;
	}

	static HomeTable homeTable(SortedMap<String, FakeStore.Versioned> found) {
		return found.containsKey("/homes") ? homeTable(found.get("/homes")) : HomeTable.EMPTY;
	}

	static HomeTable homeTable(FakeStore.Versioned found) {
		return withRevision((HomeTable) found.value(), found.revision());
	}

	static HomeTable withRevision(HomeTable table, long revision) {
		return new HomeTable(new Revision(revision), table.members(), table.homes(), table.epochs());
	}

	// Builds the tables of a snapshot and keeps them for tablesAt.
	Tables buildTables(SortedMap<String, FakeStore.Versioned> found) {
		Tables tables = SimulatedCluster.buildTables(found);
		this.tablesByRevision.put(tables.revision().value(), tables);
		return tables;
	}

	Tables tablesAt(long revision) {
		return this.tablesByRevision.getOrDefault(revision, Tables.EMPTY);
	}

	// Creates a version 7 UUID with the given time.
	String newUuid(long epochMillis) {
		String time = String.format("%012x", epochMillis);
		return String.format("%s-%s-7%03x-8%03x-%012x", time.substring(0, 8), time.substring(8),
				this.random.nextInt(TWELVE_BITS), this.random.nextInt(TWELVE_BITS),
				this.random.nextLong(FORTY_EIGHT_BITS));
	}

	// Stable per process name: the monotonic clock of a VM continues when a process on it
	// restarts.
	long clockOffsetNanos(String process) {
		return this.clockOffsets.computeIfAbsent(process,
				(key) -> CLOCK_START_NANOS + this.random.nextLong(CLOCK_SPREAD_NANOS));
	}

	long wallClockMillis() {
		return SimulatedProcess.WALL_START_MILLIS + this.clock.now() / SimulatedClock.NANOS_PER_MILLI;
	}

	boolean isGuard(String name) {
		return SimulatedCluster.GUARDS.contains(name);
	}

	SimulatedProcess process(String name) {
		return this.processes.get(name);
	}

	FakeEndpoint endpoint(GuardId guard) {
		return this.endpoints.get(guard);
	}

	SplittableRandom random() {
		return this.random;
	}

	LogicFactory logicFactory() {
		return this.logicFactory;
	}

	SimulatedClock clock() {
		return this.clock;
	}

	Journal journal() {
		return this.journal;
	}

	Network network() {
		return this.network;
	}

	FakeStore store() {
		return this.store;
	}

}
