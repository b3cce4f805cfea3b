package io.coriandermux.soak;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
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

	private static final long CALLER_TIMEOUT_MILLIS = 2_500;

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

	private final GuaranteeChecker checker = new GuaranteeChecker(new SystemTime(Clock.systemUTC()));

	private final Cluster cluster;

	private final ScheduledExecutorService faultScheduler = Executors.newScheduledThreadPool(8);

	private final ExecutorService callerExecutor = Executors.newCachedThreadPool();

	private final JobsClient client = new JobsClient();

	private final AtomicLong lastJobNumber = new AtomicLong();

	private final AtomicLong answered = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final long seed;

	private volatile boolean ending;

	/** End of the last disturbance in milliseconds of the run. */
	private volatile long disturbedUntilMillis;

	private volatile long configuredAtMillis;

	private volatile boolean extraRouteConfigured;

	private long version = 1;

	SoakRun(long seed, int entryCount, int guardCount, Path folder) throws IOException {
		this.seed = seed;
		this.random = new Random(seed);
		this.folder = folder;
		this.cluster = new Cluster(this.random, folder, this.checker, entryCount, guardCount);
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
	 * @param clients the number of callers
	 * @return the violations of guarantees
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	List<String> execute(long faultMillis, int clients) throws IOException, InterruptedException {
		for (SystemProcess process : this.cluster.processes()) {
			process.start();
		}
		if (!awaitServedJob(60_000)) {
			this.checker.reportViolation("START", "no job was served within 60 s of the start");
			return this.checker.violations();
		}
		for (int number = 0; number < clients; number++) {
			long callerSeed = this.random.nextLong();
			this.callerExecutor.execute(() -> runCaller(new Random(callerSeed)));
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
		this.callerExecutor.shutdown();
		this.callerExecutor.awaitTermination(10, TimeUnit.SECONDS);
		return this.checker.violations();
	}

	private void checkRecovery() throws InterruptedException {
		sleep(RECOVERY_TIMEOUT_MILLIS);
		long answeredBefore = this.answered.get();
		long servedBefore = this.served.get();
		sleep(3_000);
		long newlyAnswered = this.answered.get() - answeredBefore;
		if (newlyAnswered == 0 || (this.served.get() - servedBefore) * 10 < newlyAnswered * 9) {
			this.checker.reportViolation("RECOVER",
					(this.served.get() - servedBefore) + " of " + newlyAnswered + " jobs were served after the faults");
		}
	}

	String summary() {
		return "seed " + this.seed + ": " + this.answered.get() + " jobs, " + this.served.get() + " served, "
				+ this.checker.starts() + " starts, " + this.checker.violations().size() + " broken promises";
	}

	private List<Fault> drawFaults(long faultMillis) {
		List<Fault> plan = new ArrayList<>();
		Fault.Kind[] kinds = Fault.Kind.values();
		for (long at = 0; at < faultMillis; at += 300 + this.random.nextInt(1_700)) {
			plan.add(new Fault(at, kinds[this.random.nextInt(kinds.length)], this.random.nextInt(1_000),
					300 + this.random.nextInt(2_500)));
		}
		return plan;
	}

	private void inject(Fault fault) {
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
				case STORE -> impairStore(fault);
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
		FaultProxy.Mode[] modes = FaultProxy.Mode.values();
		FaultProxy link = this.cluster.links().get(fault.target() % this.cluster.links().size());
		link.setMode(modes[1 + fault.target() % (modes.length - 1)]);
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
				endpoint.setLateOrderPercent(30);
				sleep(fault.forMillis());
				endpoint.setLateOrderPercent(0);
			}
		}
	}

	private boolean isUndisturbed() {
		return this.checker.millis() > this.disturbedUntilMillis;
	}

	// Every undisturbed entry must have applied the latest configuration.
	private void checkConfiguration() throws InterruptedException {
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

	private OptionalInt extraRouteStatus(int port) throws InterruptedException {
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
		long end = this.checker.millis() + millis;
		while (this.checker.millis() < end) {
			if (submitJob(new Random(this.seed), 1, 20)) {
				return true;
			}
			sleep(200);
		}
		return false;
	}

	private void runCaller(Random callerRandom) {
		try {
			while (!this.ending) {
				int maxRunMillis = (callerRandom.nextInt(10) != 0) ? 200 : 1_200;
				boolean completed = submitJob(callerRandom, 1 + callerRandom.nextInt(4),
						20 + callerRandom.nextInt(maxRunMillis));
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

	private boolean submitJob(Random callerRandom, int tasks, long runMillis) throws InterruptedException {
		String id = String.format("%016x", this.lastJobNumber.incrementAndGet());
		this.checker.onSubmitted(id, tasks, String.valueOf(runMillis));
		boolean refused = true;
		boolean completed = false;
		long end = this.checker.millis() + CALLER_TIMEOUT_MILLIS;
		while (!completed && this.checker.millis() < end) {
			int number = callerRandom.nextInt(this.cluster.entries().size());
			long sentMillis = this.checker.millis();
			boolean wasUndisturbed = isUndisturbed();
			boolean wasAlive = this.cluster.entries().get(number).isAlive();
			try {
				HttpResponse<String> reply = this.client.submit(this.cluster.callerPort(number), QUEUE_ROUTE, id, tasks,
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

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() throws IOException {
		this.ending = true;
		this.faultScheduler.shutdownNow();
		this.callerExecutor.shutdownNow();
		this.cluster.close();
	}

}
