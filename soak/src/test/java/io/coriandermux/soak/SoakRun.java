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
 * One run: starts the processes, injects the faults that a seed draws, and checks the
 * promises meanwhile.
 */
final class SoakRun implements AutoCloseable {

	private static final String QUEUE = "/queue/";

	private static final String EXTRA = "/extra/";

	/** Least time after which a caller hands a job in again. */
	private static final long RESEND_MILLIS = 1_300;

	private static final long WAIT_MILLIS = 2_500;

	/** A configuration is in force within this time where nothing is disturbed. */
	private static final long CONFIG_MILLIS = 2_000;

	/** A process counts as calm this long after the end of a disturbance. */
	private static final long CALM_MILLIS = 3_000;

	/** An endpoint that drains goes on for at least this long. */
	private static final long DRAIN_MILLIS = 2_000;

	/** Service has to be back this long after the last fault. */
	private static final long RECOVER_MILLIS = 6_000;

	private final Random random;

	private final Path folder;

	private final Promises promises = new Promises(new SystemTime(Clock.systemUTC()));

	private final Fleet fleet;

	private final ScheduledExecutorService faults = Executors.newScheduledThreadPool(8);

	private final ExecutorService callers = Executors.newCachedThreadPool();

	private final JobsClient client = new JobsClient();

	private final AtomicLong numbers = new AtomicLong();

	private final AtomicLong answered = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final long seed;

	private volatile boolean ending;

	/** When the last disturbance ends or ended, in milliseconds of the run. */
	private volatile long disturbedUntil;

	private volatile long configuredAt;

	private volatile boolean extra;

	private long version = 1;

	SoakRun(long seed, int entryCount, int guardCount, Path folder) throws IOException {
		this.seed = seed;
		this.random = new Random(seed);
		this.folder = folder;
		this.fleet = new Fleet(this.random, folder, this.promises, entryCount, guardCount);
		configure();
	}

	private synchronized void configure() {
		this.version++;
		this.extra = this.version % 2 == 0;
		this.fleet.store()
			.writeAsOperator(JobsClient.CONFIG_KEY, JobsClient.createConfiguration(this.version, Fleet.SERVICE,
					this.extra ? List.of(QUEUE, EXTRA) : List.of(QUEUE)));
		this.configuredAt = this.promises.millis();
	}

	/**
	 * Plays the run.
	 * @param faultMillis how long faults begin
	 * @param clients number of callers
	 * @return what was broken
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	List<String> play(long faultMillis, int clients) throws IOException, InterruptedException {
		for (SystemProcess process : this.fleet.processes()) {
			process.start();
		}
		if (!isServed(60_000)) {
			this.promises.breaks("START", "no job was served within 60 s of the start");
			return this.promises.broken();
		}
		for (int number = 0; number < clients; number++) {
			long own = this.random.nextLong();
			this.callers.execute(() -> call(new Random(own)));
		}
		List<Fault> plan = plan(faultMillis);
		Files.write(this.folder.resolve("plan.txt"), plan.stream().map(Fault::toString).toList());
		long begun = this.promises.millis();
		plan.forEach((fault) -> this.faults.schedule(() -> inject(fault), fault.atMillis(), TimeUnit.MILLISECONDS));
		while (this.promises.millis() - begun < faultMillis || this.promises.millis() < this.disturbedUntil) {
			watch();
			sleep(200);
		}
		settle();
		this.ending = true;
		this.callers.shutdown();
		this.callers.awaitTermination(10, TimeUnit.SECONDS);
		return this.promises.broken();
	}

	private void settle() throws InterruptedException {
		sleep(RECOVER_MILLIS);
		long before = this.answered.get();
		long good = this.served.get();
		sleep(3_000);
		long asked = this.answered.get() - before;
		if (asked == 0 || (this.served.get() - good) * 10 < asked * 9) {
			this.promises.breaks("RECOVER",
					(this.served.get() - good) + " of " + asked + " jobs were served after the faults");
		}
	}

	String summary() {
		return "seed " + this.seed + ": " + this.answered.get() + " jobs, " + this.served.get() + " served, "
				+ this.promises.starts() + " starts, " + this.promises.broken().size() + " broken promises";
	}

	private List<Fault> plan(long faultMillis) {
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
			disturb(fault.forMillis() + CALM_MILLIS);
		}
		try {
			SystemProcess entry = this.fleet.entries().get(fault.target() % this.fleet.entries().size());
			SystemProcess guard = this.fleet.guards().get(fault.target() % this.fleet.guards().size());
			switch (fault.kind()) {
				case KILL_ENTRY -> kill(entry, fault);
				case KILL_GUARD -> kill(guard, fault);
				case PAUSE_ENTRY -> pause(entry, fault);
				case PAUSE_GUARD -> pause(guard, fault);
				case STOP_ENTRY -> stop(entry);
				case STOP_GUARD -> stop(guard);
				case HANG_UP -> this.fleet.processes().get(fault.target() % this.fleet.processes().size()).hangUp();
				case CONFIGURE -> configure();
				case RESET_LINK -> this.fleet.links().get(fault.target() % this.fleet.links().size()).reset();
				case HARM_LINK -> harm(fault);
				case STORE -> harmStore(fault);
				default ->
					harmEndpoint(this.fleet.endpoints().get(fault.target() % this.fleet.endpoints().size()), fault);
			}
		}
		catch (IOException ex) {
			this.promises.breaks("SOAK", fault + ": " + ex.getMessage());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void disturb(long millis) {
		this.disturbedUntil = Math.max(this.disturbedUntil, this.promises.millis() + millis);
	}

	private void kill(SystemProcess process, Fault fault) throws IOException, InterruptedException {
		process.kill();
		process.awaitEnd(Fleet.GRACE_MILLIS);
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
		if (!process.awaitEnd(Fleet.GRACE_MILLIS)) {
			if (isCalm()) {
				this.promises.breaks("STOP", process.name() + " did not end within " + Fleet.GRACE_MILLIS + " ms");
			}
			process.kill();
			process.awaitEnd(Fleet.GRACE_MILLIS);
		}
		process.start();
	}

	private void harm(Fault fault) throws InterruptedException {
		FaultProxy.Mode[] modes = FaultProxy.Mode.values();
		FaultProxy link = this.fleet.links().get(fault.target() % this.fleet.links().size());
		link.mode(modes[1 + fault.target() % (modes.length - 1)]);
		sleep(fault.forMillis());
		link.mode(FaultProxy.Mode.PASS);
	}

	private void harmStore(Fault fault) throws InterruptedException {
		StoreStandIn.Fault[] kinds = StoreStandIn.Fault.values();
		this.fleet.store().setFault(kinds[1 + fault.target() % (kinds.length - 1)]);
		sleep(fault.forMillis());
		this.fleet.store().setFault(StoreStandIn.Fault.NONE);
	}

	private void harmEndpoint(RunnerStandIn endpoint, Fault fault) throws InterruptedException {
		switch (fault.kind()) {
			case CRASH_ENDPOINT -> {
				endpoint.crash();
				sleep(fault.forMillis() / 2);
				endpoint.restart();
			}
			case DRAIN_ENDPOINT -> {
				endpoint.drain();
				sleep(DRAIN_MILLIS + fault.forMillis());
				disturb(CALM_MILLIS);
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

	private boolean isCalm() {
		return this.promises.millis() > this.disturbedUntil;
	}

	// Each entry that serves without disturbance knows the newest configuration.
	private void watch() throws InterruptedException {
		for (int number = 0; number < this.fleet.entries().size(); number++) {
			boolean expected = this.extra;
			long asked = this.promises.millis();
			boolean due = isCalm() && asked - this.configuredAt > CONFIG_MILLIS;
			OptionalInt status = countStatus(this.fleet.callerPort(number));
			boolean stable = expected == this.extra && asked - this.configuredAt > CONFIG_MILLIS;
			if (due && stable && isCalm() && status.orElse(0) == (expected ? 404 : 200)) {
				this.promises.breaks("CONFIG", this.fleet.entries().get(number).name() + " answers with "
						+ status.getAsInt() + " " + (asked - this.configuredAt) + " ms after version " + this.version);
			}
		}
	}

	private OptionalInt countStatus(int port) throws InterruptedException {
		try {
			return OptionalInt.of(this.client.requestQueueStatus(port, EXTRA));
		}
		catch (IOException ex) {
			// Planned work takes single entries away; that all are gone shows in RECOVER.
			return OptionalInt.empty();
		}
	}

	private boolean isServed(long millis) throws InterruptedException {
		long end = this.promises.millis() + millis;
		while (this.promises.millis() < end) {
			if (handIn(new Random(this.seed), 1, 20)) {
				return true;
			}
			sleep(200);
		}
		return false;
	}

	private void call(Random own) {
		try {
			while (!this.ending) {
				int longest = (own.nextInt(10) != 0) ? 200 : 1_200;
				boolean good = handIn(own, 1 + own.nextInt(4), 20 + own.nextInt(longest));
				this.answered.incrementAndGet();
				if (good) {
					this.served.incrementAndGet();
				}
				sleep(20 + own.nextInt(200));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private boolean handIn(Random own, int tasks, long runMillis) throws InterruptedException {
		String id = String.format("%016x", this.numbers.incrementAndGet());
		this.promises.handedIn(id, tasks, String.valueOf(runMillis));
		boolean refused = true;
		boolean completed = false;
		long end = this.promises.millis() + WAIT_MILLIS;
		while (!completed && this.promises.millis() < end) {
			int number = own.nextInt(this.fleet.entries().size());
			long sent = this.promises.millis();
			boolean calm = isCalm();
			boolean alive = this.fleet.entries().get(number).isAlive();
			try {
				HttpResponse<String> reply = this.client.submit(this.fleet.callerPort(number), QUEUE, id, tasks,
						runMillis, Math.max(50, end - sent));
				completed = reply.statusCode() == 200 && reply.body().contains("completed");
				boolean notRun = reply.statusCode() == 429 || reply.statusCode() == 503;
				refused &= notRun;
				if (!completed && !notRun && reply.statusCode() != 504) {
					this.promises.breaks("ANSWER",
							id + " was answered with " + reply.statusCode() + " " + reply.body());
				}
				if (!completed) {
					sleep(notRun ? 300 : RESEND_MILLIS);
				}
			}
			catch (IOException ex) {
				refused &= ex instanceof ConnectException;
				boolean early = this.promises.millis() + 300 < end;
				if (calm && alive && isCalm() && early && !(ex instanceof ConnectException)) {
					this.promises.breaks("LOST", id + " at " + this.fleet.entries().get(number).name() + " after "
							+ (this.promises.millis() - sent) + " ms: " + ex);
				}
				sleep(RESEND_MILLIS);
			}
		}
		this.promises.closed(id, refused, completed);
		return completed;
	}

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

	@Override
	public void close() throws IOException {
		this.ending = true;
		this.faults.shutdownNow();
		this.callers.shutdownNow();
		this.fleet.close();
	}

}
