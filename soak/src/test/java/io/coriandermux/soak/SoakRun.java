package io.coriandermux.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLConnection;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Clock;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.coriandermux.platform.standin.JobsClient;
import io.coriandermux.platform.standin.RunnerStandIn;
import io.coriandermux.platform.standin.StoreStandIn;
import io.coriandermux.wire.SystemTime;

/**
 * One run: starts the processes, injects the faults drawn from the seed, and checks the
 * guarantees at the same time.
 */
final class SoakRun implements AutoCloseable {

	private static final String QUEUE_ROUTE = "/queue/";

	private static final String EXTRA_ROUTE = "/extra/";

	/** Delay before a caller resubmits a job, unless it was refused. */
	private static final long RESUBMIT_DELAY_MILLIS = 1_300;

	/** Leaves time for a second attempt and for a third one. */
	private static final long CALLER_TIMEOUT_MILLIS = 4_000;

	private static final int MIN_CALLERS = 12;

	/** Capacity of an endpoint in thousandths of a core for callers in a closed loop. */
	private static final int CLOSED_LOOP_CAPACITY = 8_000;

	/** Until then the entries learn run times and the first connections are opened. */
	private static final long WARM_UP_MILLIS = SiteCallers.RAMP_MILLIS + 1_000;

	private static final long MEASURED_MILLIS = 3_000;

	/**
	 * Below this the rate is above what this size carries, so the faults show nothing.
	 */
	private static final int MIN_SERVED_BEFORE_PERCENT = 60;

	/** On a busy machine the compilers of the processes need longer. */
	private static final int MAX_WINDOWS = 6;

	/** Run time in milliseconds and number of tasks of the jobs of the deployment. */
	private static final int[][] DEPLOYED_JOBS = { { 73, 8 }, { 1_086, 4 }, { 243, 2 } };

	/**
	 * A start takes about half a second of CPU time. More processes that start at once
	 * would delay each other and those that are already started.
	 */
	private static final int START_GROUP = Runtime.getRuntime().availableProcessors();

	private static final long START_GROUP_INTERVAL_MILLIS = 400;

	/**
	 * With more processes the first ones have to answer handshakes of all others while
	 * these start, and a handshake that times out is repeated each 0.6 s.
	 */
	private static final int MANY_PROCESSES = 48;

	private static final long MANY_PROCESSES_INTERVAL_MILLIS = 2_000;

	private static final long START_INTERVAL_MILLIS = 20;

	/** After a restart of many processes, tasks run for a while before the next fault. */
	private static final long SERVING_MILLIS = 4_000;

	private static final int LATE_RESTART_PERCENT = 40;

	private static final long MAX_RESTART_DELAY_MILLIS = 3_000;

	/** With 100, an endpoint gives its guard no answer for a while. */
	private static final int[] LATE_PERCENTS = { 10, 30, 60, 100 };

	private static final int MIN_LONG_DELAY_MILLIS = 2_000;

	private static final int LONG_DELAY_RANGE_MILLIS = 10_000;

	/**
	 * Callers come back 1.3 s after a break, and batches end after 1.5 s at the latest.
	 */
	private static final long MAX_PATH_LAG_MILLIS = 300;

	private static final int EVENTS_TIMEOUT_MILLIS = 1_000;

	/** Undisturbed entries must apply a configuration within this time. */
	private static final long CONFIG_TIMEOUT_MILLIS = 2_000;

	/** The system counts as undisturbed this long after the end of a disturbance. */
	private static final long SETTLE_MILLIS = 3_000;

	/** A draining endpoint keeps running for at least this long. */
	private static final long MIN_DRAIN_MILLIS = 2_000;

	/** Jobs must be served again this long after the last fault. */
	private static final long RECOVERY_TIMEOUT_MILLIS = 6_000;

	private final Random random;

	private final Path folder;

	private final FaultRange range;

	private final TraceWriter trace;

	private final GuaranteeChecker checker;

	private final Cluster cluster;

	private final ScheduledExecutorService faultScheduler = Executors.newScheduledThreadPool(24);

	private final ScheduledExecutorService eventSaver = Executors.newSingleThreadScheduledExecutor();

	private final ExecutorService callerExecutor = Executors.newCachedThreadPool();

	/** Not used by callers, so that faults do not reset its connections. */
	private final JobsClient client = new JobsClient();

	private final List<JobsClient> callers = new ArrayList<>();

	private final AtomicLong lastJobNumber = new AtomicLong();

	private final AtomicLong answered = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final long seed;

	private final SiteCallers.Load load;

	private final SiteCallers siteCallers;

	private final SiteFaults siteFaults;

	/** Used by one thread. */
	private boolean pathsLate;

	/** Share of the jobs that is served without faults. */
	private double servedShareBefore = 1;

	private volatile boolean ending;

	/** End of the last disturbance in milliseconds of the run. */
	private volatile long disturbedUntilMillis;

	private volatile long configuredAtMillis;

	private volatile boolean extraRouteConfigured;

	private long version = 1;

	/** Number of violations when the events were saved; used by one thread. */
	private int savedViolations;

	SoakRun(long seed, int entryCount, int guardCount, FaultRange range, SiteCallers.Load load, Path folder)
			throws IOException {
		this.seed = seed;
		this.load = load;
		this.range = range;
		this.trace = new TraceWriter(folder.resolve("trace.log"));
		this.checker = new GuaranteeChecker(new SystemTime(Clock.systemUTC()), this.trace::write);
		for (int number = 0; number < Math.max(MIN_CALLERS, 2 * guardCount); number++) {
			this.callers.add(new JobsClient());
		}
		this.random = new Random(seed);
		this.folder = folder;
		int capacity = load.isClosed() ? CLOSED_LOOP_CAPACITY
				: SiteCallers.requiredCapacity(load.rate(), load.percent(), guardCount);
		this.cluster = new Cluster(this.random, folder, this.trace, this.checker, entryCount, guardCount, capacity);
		this.siteCallers = new SiteCallers(this.cluster, this.checker, this.trace::write, this::isUndisturbed, load,
				seed);
		this.siteFaults = new SiteFaults(this.cluster, this.faultScheduler, this.checker, this.trace::write,
				(millis) -> extendDisturbance(millis + SETTLE_MILLIS));
		configure();
	}

	private synchronized void configure() {
		this.version++;
		this.extraRouteConfigured = this.version % 2 == 0;
		this.cluster.store()
			.writeAsOperator(JobsClient.CONFIG_KEY, JobsClient.createConfiguration(this.version, Cluster.SERVICE,
					this.extraRouteConfigured ? List.of(QUEUE_ROUTE, EXTRA_ROUTE) : List.of(QUEUE_ROUTE)));
		this.configuredAtMillis = this.checker.millis();
	}

	/**
	 * Executes the run.
	 * @param faultMillis the time during which faults are started, in milliseconds
	 * @return the violations of guarantees
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	List<String> execute(long faultMillis) throws IOException, InterruptedException {
		startInGroups(this.cluster.processes());
		if (!awaitServedJob(60_000)) {
			this.checker.reportViolation("START", "no job was served within 60 s of the start");
			return this.checker.violations();
		}
		startCallers();
		this.eventSaver.scheduleWithFixedDelay(this::checkPaths, 100, 100, TimeUnit.MILLISECONDS);
		this.eventSaver.scheduleWithFixedDelay(this::saveEventsAfterViolation, 100, 100, TimeUnit.MILLISECONDS);
		if (!this.load.isClosed() && !measureBeforeFaults()) {
			return this.checker.violations();
		}
		List<Fault> plan = drawFaults(faultMillis);
		Files.write(this.folder.resolve("plan.txt"), plan.stream().map(Fault::toString).toList());
		long startMillis = this.checker.millis();
		plan.forEach(
				(fault) -> this.faultScheduler.schedule(() -> inject(fault), fault.atMillis(), TimeUnit.MILLISECONDS));
		while (this.checker.millis() - startMillis < faultMillis || this.checker.millis() < this.disturbedUntilMillis) {
			checkConfiguration();
			sleep(200);
		}
		checkRecovery();
		this.ending = true;
		this.siteCallers.stop();
		this.callerExecutor.shutdown();
		this.callerExecutor.awaitTermination(10, TimeUnit.SECONDS);
		return this.checker.violations();
	}

	private void startCallers() {
		// The plan must not depend on the number of callers or on the load.
		Random further = new Random(this.seed);
		for (JobsClient caller : this.callers) {
			Random source = (this.callers.indexOf(caller) < MIN_CALLERS) ? this.random : further;
			long callerSeed = source.nextLong();
			if (this.load.isClosed()) {
				this.callerExecutor.execute(() -> runCaller(caller, new Random(callerSeed)));
			}
		}
		if (!this.load.isClosed()) {
			this.cluster.balancer().startProbing();
			this.siteCallers.start();
		}
	}

	// The rate does not depend on the answers, so how much of it is served depends on the
	// machine as well. What is served after the faults is compared with this share.
	private boolean measureBeforeFaults() throws InterruptedException {
		sleep(WARM_UP_MILLIS);
		long newlyAnswered = 0;
		long newlyServed = 0;
		for (int window = 0; window < MAX_WINDOWS; window++) {
			long answeredBefore = answered();
			long servedBefore = served();
			sleep(MEASURED_MILLIS);
			newlyAnswered = answered() - answeredBefore;
			newlyServed = served() - servedBefore;
			this.trace.write("served before the faults: " + newlyServed + " of " + newlyAnswered);
			if (newlyServed > 0 && newlyServed * 100 >= newlyAnswered * MIN_SERVED_BEFORE_PERCENT) {
				this.servedShareBefore = (double) newlyServed / newlyAnswered;
				return true;
			}
		}
		this.checker.reportViolation("START", newlyServed + " of " + newlyAnswered
				+ " jobs were served before the faults; the rate is too high for this size");
		return false;
	}

	// Without this check, TWICE and UNASKED of a run could come from requests that the
	// proxies delivered late, beside the plan (seed 95900: up to 10 s).
	private void checkPaths() {
		long lagMillis = this.cluster.callerProxies().maxLagMillis();
		if (!this.load.isClosed() && lagMillis > MAX_PATH_LAG_MILLIS && !this.pathsLate) {
			this.pathsLate = true;
			this.checker.reportViolation("SOAK", "the callers' paths are " + lagMillis
					+ " ms late, so that TWICE and UNASKED of this run may come from the soak itself");
		}
	}

	private long answered() {
		return this.answered.get() + this.siteCallers.answered();
	}

	private long served() {
		return this.served.get() + this.siteCallers.served();
	}

	// Nine of ten jobs. At a given rate it is nine tenths of the share that was served
	// without faults: what the endpoints or the machine cannot carry is not lost by the
	// system. In the closed loop the callers adapt to the capacity, so all is expected.
	private void checkRecovery() throws InterruptedException {
		sleep(RECOVERY_TIMEOUT_MILLIS);
		long answeredBefore = answered();
		long servedBefore = served();
		sleep(MEASURED_MILLIS);
		long newlyAnswered = answered() - answeredBefore;
		long newlyServed = served() - servedBefore;
		if (newlyAnswered == 0 || newlyServed * 10 < newlyAnswered * 9 * this.servedShareBefore) {
			this.checker.reportViolation("RECOVER",
					newlyServed + " of " + newlyAnswered + " jobs were served after the faults"
							+ (this.load.isClosed() ? "" : ", before them " + this.servedShareBefore));
		}
	}

	void killProcesses() {
		this.cluster.processes().forEach(SystemProcess::kill);
	}

	String summary() {
		return "seed " + this.seed + ": " + answered() + " jobs, " + served() + " served, " + this.checker.starts()
				+ " starts, " + this.checker.violations().size() + " broken promises" + (this.load.isClosed() ? ""
						: ", callers' paths up to " + this.cluster.callerProxies().maxLagMillis() + " ms late");
	}

	private List<Fault> drawFaults(long faultMillis) {
		List<Fault> plan = new ArrayList<>();
		List<Fault.Kind> kinds = this.range.drawKinds(this.random);
		long at = 0;
		while (at < faultMillis) {
			Fault.Kind kind = kinds.get(this.random.nextInt(kinds.size()));
			plan.add(new Fault(at, kind, this.random.nextInt(1_000), 300 + this.random.nextInt(2_500)));
			at += 300 + this.random.nextInt(1_700);
			if (kind == Fault.Kind.KILL_ENTRIES || kind == Fault.Kind.KILL_ALL) {
				at += SERVING_MILLIS;
			}
		}
		return plan;
	}

	private void inject(Fault fault) {
		this.trace.write("fault " + fault);
		if (!fault.kind().isPlanned()) {
			extendDisturbance(fault.forMillis() + SETTLE_MILLIS);
		}
		try {
			SystemProcess entry = this.cluster.entries().get(fault.target() % this.cluster.entries().size());
			SystemProcess guard = this.cluster.guards().get(fault.target() % this.cluster.guards().size());
			switch (fault.kind()) {
				case KILL_ENTRY -> kill(entry, fault);
				case KILL_GUARD -> kill(guard, fault);
				case PAUSE_ENTRY -> pause(entry, fault);
				case PAUSE_GUARD -> pause(guard, fault);
				case STOP_ENTRY -> stop(entry);
				case STOP_GUARD -> stop(guard);
				case HANG_UP ->
					this.cluster.processes().get(fault.target() % this.cluster.processes().size()).sendHangUp();
				case CONFIGURE -> configure();
				case RESET_LINK -> this.cluster.links().get(fault.target() % this.cluster.links().size()).reset();
				case HARM_LINK -> impairLink(fault);
				case RESET_ALL -> resetAll(new Random(fault.target()));
				case KILL_ENTRIES -> killAll(this.cluster.entries(), fault);
				case KILL_ALL -> killAll(this.cluster.processes(), fault);
				case CUT_HALF_OPEN, RESTART_HALF_OPEN -> this.siteFaults.inject(fault);
				case PAUSE_MANY -> pauseMany(new Random(fault.target()));
				case LATE_ORDERS_MANY -> delayOrders(new Random(fault.target()), fault);
				case STORE -> impairStore(fault);
				case RESTART_SOON, HALF_OPEN_CALLERS, HARM_CALLERS, PAUSE_LONG, FREEZE_RESET, PAUSE_HALF_OPEN,
						HOLD_REQUESTS, SILENT_GUARD, FOREIGN_HEARTBEAT ->
					this.siteFaults.inject(fault);
				default -> impairEndpoint(
						this.cluster.endpoints().get(fault.target() % this.cluster.endpoints().size()), fault);
			}
		}
		catch (IOException ex) {
			this.checker.reportViolation("SOAK", fault + ": " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void extendDisturbance(long millis) {
		this.disturbedUntilMillis = Math.max(this.disturbedUntilMillis, this.checker.millis() + millis);
	}

	private void kill(SystemProcess process, Fault fault) throws IOException, InterruptedException {
		process.kill();
		process.awaitEnd(Cluster.GRACE_MILLIS);
		sleep(fault.forMillis() / 2);
		process.start();
	}

	private void pause(SystemProcess process, Fault fault) throws IOException, InterruptedException {
		process.pause();
		sleep(fault.forMillis());
		process.resume();
	}

	private void resetAll(Random choice) throws InterruptedException {
		int percent = 30 + choice.nextInt(71);
		for (int remaining = 1 + choice.nextInt(4); remaining > 0; remaining--) {
			List<Runnable> resets = new ArrayList<>();
			this.callers.forEach((caller) -> resets.add(caller::reset));
			if (!this.load.isClosed()) {
				long resetSeed = choice.nextLong();
				this.cluster.balancer().paths().forEach((path) -> path.reset(percent, resetSeed + path.port()));
			}
			this.cluster.remoteLinks().forEach((link) -> resets.add(link::reset));
			resets.removeIf((reset) -> choice.nextInt(100) >= percent);
			Collections.shuffle(resets, choice);
			extendDisturbance(SETTLE_MILLIS);
			resets.forEach(Runnable::run);
			this.trace.write("reset " + resets.size() + " links and callers");
			sleep(100 + choice.nextInt(1_000));
		}
	}

	private void killAll(List<SystemProcess> processes, Fault fault) throws IOException, InterruptedException {
		processes.forEach(SystemProcess::kill);
		this.trace.write("killed " + processes.size() + " processes");
		for (SystemProcess process : processes) {
			process.awaitEnd(Cluster.GRACE_MILLIS);
		}
		restartAll(processes, fault);
		extendDisturbance(SETTLE_MILLIS);
	}

	// Entries come back at once, as in the record of issue 28, and some guards up to
	// three seconds later, as on a loaded machine. Orders of the previous guards are
	// carried out meanwhile.
	private void restartAll(List<SystemProcess> processes, Fault fault) throws IOException, InterruptedException {
		Random choice = new Random(fault.target());
		Map<Long, SystemProcess> byDelay = new TreeMap<>();
		for (SystemProcess process : processes) {
			long delayMillis = byDelay.size() * START_INTERVAL_MILLIS;
			boolean late = choice.nextInt(100) < LATE_RESTART_PERCENT && this.cluster.guards().contains(process);
			delayMillis += late ? choice.nextLong(MAX_RESTART_DELAY_MILLIS) : fault.forMillis() / 8;
			while (byDelay.putIfAbsent(delayMillis, process) != null) {
				delayMillis++;
			}
		}
		long waitedMillis = 0;
		for (Map.Entry<Long, SystemProcess> restart : byDelay.entrySet()) {
			sleep(restart.getKey() - waitedMillis);
			waitedMillis = restart.getKey();
			restart.getValue().start();
			// On a busy machine this takes longer than the fault was announced for.
			extendDisturbance(SETTLE_MILLIS);
		}
	}

	private void startInGroups(List<SystemProcess> processes) throws IOException, InterruptedException {
		long intervalMillis = (processes.size() > MANY_PROCESSES) ? MANY_PROCESSES_INTERVAL_MILLIS
				: START_GROUP_INTERVAL_MILLIS;
		for (int number = 0; number < processes.size(); number++) {
			if (number > 0 && number % START_GROUP == 0) {
				sleep(intervalMillis);
			}
			processes.get(number).start();
		}
	}

	private void pauseMany(Random choice) throws IOException, InterruptedException {
		int percent = 10 + choice.nextInt(50);
		for (int remaining = 1 + choice.nextInt(3); remaining > 0; remaining--) {
			int maxMillis = 300 + choice.nextInt(1_700);
			extendDisturbance(maxMillis + SETTLE_MILLIS);
			for (SystemProcess process : this.cluster.processes()) {
				if (choice.nextInt(100) < percent) {
					process.pause();
					this.faultScheduler.schedule(() -> resume(process), 300 + choice.nextInt(maxMillis - 299),
							TimeUnit.MILLISECONDS);
				}
			}
			sleep(maxMillis + choice.nextInt(500));
		}
	}

	private void resume(SystemProcess process) {
		try {
			process.resume();
		}
		catch (IOException ex) {
			this.checker.reportViolation("SOAK", "cannot resume " + process.name() + ": " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void delayOrders(Random choice, Fault fault) throws InterruptedException {
		extendDisturbance(fault.forMillis() + MIN_LONG_DELAY_MILLIS + LONG_DELAY_RANGE_MILLIS + SETTLE_MILLIS);
		List<RunnerStandIn> endpoints = new ArrayList<>(this.cluster.endpoints());
		int percent = 30 + choice.nextInt(71);
		endpoints.removeIf((endpoint) -> choice.nextInt(100) >= percent);
		RunnerStandIn.LateOrders late = new RunnerStandIn.LateOrders(
				LATE_PERCENTS[choice.nextInt(LATE_PERCENTS.length)], choice.nextBoolean(), choice.nextBoolean(),
				MIN_LONG_DELAY_MILLIS, LONG_DELAY_RANGE_MILLIS);
		this.trace.write(endpoints.size() + " endpoints have " + late);
		endpoints.forEach((endpoint) -> endpoint.setLateOrders(late));
		sleep(fault.forMillis());
		endpoints.forEach((endpoint) -> endpoint.setLateOrders(RunnerStandIn.LateOrders.NONE));
	}

	private void stop(SystemProcess process) throws IOException, InterruptedException {
		process.terminate();
		if (!process.awaitEnd(Cluster.GRACE_MILLIS)) {
			if (isUndisturbed()) {
				this.checker.reportViolation("STOP",
						process.name() + " did not end within " + Cluster.GRACE_MILLIS + " ms");
			}
			process.kill();
			process.awaitEnd(Cluster.GRACE_MILLIS);
		}
		process.start();
	}

	private void impairLink(Fault fault) throws InterruptedException {
		List<FaultProxy.Mode> modes = FaultProxy.Mode.LINK_FAULTS;
		FaultProxy link = this.cluster.links().get(fault.target() % this.cluster.links().size());
		link.setMode(modes.get(fault.target() % modes.size()));
		sleep(fault.forMillis());
		link.setMode(FaultProxy.Mode.PASS);
	}

	private void impairStore(Fault fault) throws InterruptedException {
		StoreStandIn.Fault[] kinds = StoreStandIn.Fault.values();
		this.cluster.store().setFault(kinds[1 + fault.target() % (kinds.length - 1)]);
		sleep(fault.forMillis());
		this.cluster.store().setFault(StoreStandIn.Fault.NONE);
	}

	private void impairEndpoint(RunnerStandIn endpoint, Fault fault) throws InterruptedException {
		switch (fault.kind()) {
			case CRASH_ENDPOINT -> {
				endpoint.crash();
				sleep(fault.forMillis() / 2);
				endpoint.restart();
			}
			case DRAIN_ENDPOINT -> {
				endpoint.drain();
				sleep(MIN_DRAIN_MILLIS + fault.forMillis());
				extendDisturbance(SETTLE_MILLIS);
				endpoint.crash();
				endpoint.restart();
			}
			default -> {
				endpoint.setLateOrders(new RunnerStandIn.LateOrders(30, false, false, 100, 1_400));
				sleep(fault.forMillis());
				endpoint.setLateOrders(RunnerStandIn.LateOrders.NONE);
			}
		}
	}

	private boolean isUndisturbed() {
		return this.checker.millis() > this.disturbedUntilMillis;
	}

	// Every undisturbed entry must have applied the latest configuration.
	private void checkConfiguration() {
		for (int number = 0; number < this.cluster.entries().size(); number++) {
			boolean expected = this.extraRouteConfigured;
			long requestedAtMillis = this.checker.millis();
			boolean due = isUndisturbed() && requestedAtMillis - this.configuredAtMillis > CONFIG_TIMEOUT_MILLIS;
			OptionalInt status = extraRouteStatus(this.cluster.callerPort(number));
			boolean stable = expected == this.extraRouteConfigured
					&& requestedAtMillis - this.configuredAtMillis > CONFIG_TIMEOUT_MILLIS;
			if (due && stable && isUndisturbed() && status.orElse(0) == (expected ? 404 : 200)) {
				this.checker.reportViolation("CONFIG",
						this.cluster.entries().get(number).name() + " answers with " + status.getAsInt() + " "
								+ (requestedAtMillis - this.configuredAtMillis) + " ms after version " + this.version);
			}
		}
	}

	private OptionalInt extraRouteStatus(int port) {
		try {
			return OptionalInt.of(this.client.requestQueueStatus(port, EXTRA_ROUTE));
		}
		catch (IOException ex) {
			// A planned operation may have shut down this entry. RECOVER detects
			// that all entries are unavailable.
			return OptionalInt.empty();
		}
	}

	private boolean awaitServedJob(long millis) throws InterruptedException {
		Random choice = new Random(this.seed);
		long end = this.checker.millis() + millis;
		while (this.checker.millis() < end) {
			if (submitJob(this.client, choice, 1, 20)) {
				return true;
			}
			sleep(200);
		}
		return false;
	}

	private void runCaller(JobsClient caller, Random callerRandom) {
		try {
			while (!this.ending) {
				boolean completed;
				if (this.range.isSingle()) {
					int maxRunMillis = (callerRandom.nextInt(10) != 0) ? 200 : 1_200;
					completed = submitJob(caller, callerRandom, 1 + callerRandom.nextInt(4),
							20 + callerRandom.nextInt(maxRunMillis));
				}
				else {
					int[] job = DEPLOYED_JOBS[callerRandom.nextInt(DEPLOYED_JOBS.length)];
					completed = submitJob(caller, callerRandom, job[1], job[0]);
				}
				this.answered.incrementAndGet();
				if (completed) {
					this.served.incrementAndGet();
				}
				sleep(20 + callerRandom.nextInt(200));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean submitJob(JobsClient caller, Random callerRandom, int tasks, long runMillis)
			throws InterruptedException {
		String id = String.format("%016x", this.lastJobNumber.incrementAndGet());
		this.checker.onSubmitted(id, tasks, JobsClient.spec(runMillis));
		boolean refused = true;
		boolean completed = false;
		int previous = -1;
		long end = this.checker.millis() + CALLER_TIMEOUT_MILLIS;
		while (!completed && this.checker.millis() < end) {
			previous = drawEntry(callerRandom, previous);
			int number = previous;
			long sentMillis = this.checker.millis();
			boolean wasUndisturbed = isUndisturbed();
			boolean wasAlive = this.cluster.entries().get(number).isAlive();
			try {
				this.trace.write(id + " submitted to " + this.cluster.entries().get(number).name());
				JobsClient.Reply reply = caller.submit(this.cluster.callerPort(number), QUEUE_ROUTE, id, tasks,
						runMillis, Math.max(50, end - sentMillis));
				completed = reply.statusCode() == 200 && reply.body().contains("completed");
				boolean notRun = reply.statusCode() == 429 || reply.statusCode() == 503;
				refused &= notRun;
				if (!completed && !notRun && reply.statusCode() != 504) {
					this.checker.reportViolation("ANSWER",
							id + " was answered with " + reply.statusCode() + " " + reply.body());
				}
				if (!completed) {
					sleep(notRun ? 300 : RESUBMIT_DELAY_MILLIS);
				}
			}
			catch (IOException ex) {
				this.trace.write(id + " not answered by " + this.cluster.entries().get(number).name() + ": " + ex);
				refused &= ex instanceof ConnectException;
				boolean beforeTimeout = this.checker.millis() + 300 < end;
				if (wasUndisturbed && wasAlive && isUndisturbed() && beforeTimeout
						&& !(ex instanceof ConnectException)) {
					this.checker.reportViolation("LOST", id + " at " + this.cluster.entries().get(number).name()
							+ " after " + (this.checker.millis() - sentMillis) + " ms: " + ex);
				}
				sleep(RESUBMIT_DELAY_MILLIS);
			}
		}
		this.checker.onSubmissionEnded(id, refused, completed);
		return completed;
	}

	// After a failure a caller turns to another entry.
	private int drawEntry(Random callerRandom, int previous) {
		int count = this.cluster.entries().size();
		int number = callerRandom.nextInt(count);
		return (number != previous) ? number : (number + 1) % count;
	}

	// The processes keep their latest events in memory, also those below the level of
	// their logs.
	private void saveEventsAfterViolation() {
		int count = this.checker.violations().size();
		if (count == this.savedViolations) {
			return;
		}
		this.savedViolations = count;
		for (SystemProcess process : this.cluster.processes()) {
			try {
				URLConnection connection = URI.create("http://127.0.0.1:" + process.operatorsPort() + "/events")
					.toURL()
					.openConnection();
				connection.setConnectTimeout(EVENTS_TIMEOUT_MILLIS);
				connection.setReadTimeout(EVENTS_TIMEOUT_MILLIS);
				try (InputStream events = connection.getInputStream()) {
					Files.copy(events, this.folder.resolve(process.name() + "-events-" + count + ".json"),
							StandardCopyOption.REPLACE_EXISTING);
				}
			}
			catch (IOException ex) {
				this.trace.write("events of " + process.name() + " are not available: " + ex.getMessage());
			}
		}
	}

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() throws IOException {
		this.ending = true;
		this.faultScheduler.shutdownNow();
		this.callerExecutor.shutdownNow();
		this.siteCallers.close();
		this.eventSaver.shutdownNow();
		this.cluster.close();
		this.trace.close();
	}

}
