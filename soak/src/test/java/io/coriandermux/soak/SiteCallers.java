package io.coriandermux.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Collections;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import io.coriandermux.platform.standin.JobsClient;

/**
 * Callers as on the sites of the users: jobs arrive at a given rate, whatever becomes of
 * the earlier ones, through the balancer. A caller keeps its connection and stays with
 * its entry until the connection breaks.
 */
final class SiteCallers implements AutoCloseable {

	private static final String QUEUE_ROUTE = "/queue/";

	/** Delay before a caller submits a job again that was not answered. */
	private static final long RESUBMIT_DELAY_MILLIS = 1_300;

	/** Leaves time for a third attempt after two without an answer within 1.5 s. */
	private static final long GIVE_UP_MILLIS = 6_000;

	/** Limits the memory if the system answers nothing. */
	private static final int MAX_WAITING_CALLERS = 4_000;

	private static final long STACK_BYTES = 256 * 1024;

	/** Jobs of the deployment: run time in milliseconds and number of tasks. */
	private static final int[][] JOBS = { { 73, 8 }, { 1_086, 4 }, { 243, 2 } };

	/** The same jobs, each as often as on the sites. */
	private static final int[][] JOBS_OF_SITES = createJobsOfSites();

	/** One run in five takes 1.5 to 3 times as long. */
	private static final double MEAN_PROLONGATION = 1.25;

	/**
	 * Jobs that faults interrupt run again, which takes as much again. If they wait for
	 * free cores then, their second runs start after the first ones have ended anyway.
	 */
	static final int DEFAULT_LOAD_PERCENT = 35;

	private static final int MIN_CORES = 16;

	/** Spreads a share of the callers over their numbers. */
	private static final int SPREAD = 37;

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * At the full rate at once, processes that have just started fall behind for good.
	 * Cold runs play this.
	 */
	static final long RAMP_MILLIS = 8_000;

	private static final double MIN_RAMP = 0.1;

	private final Cluster cluster;

	private final Balancer balancer;

	private final GuaranteeChecker checker;

	private final Consumer<String> trace;

	private final BooleanSupplier undisturbed;

	private final Load load;

	private final Random random;

	private final Queue<Caller> idle = new ConcurrentLinkedQueue<>();

	private final AtomicInteger callerCount = new AtomicInteger();

	private final AtomicLong lastJobNumber = new AtomicLong(1L << 32);

	private final AtomicLong answered = new AtomicLong();

	private final AtomicLong served = new AtomicLong();

	private final ExecutorService executor = new ThreadPoolExecutor(0, MAX_WAITING_CALLERS, 5, TimeUnit.SECONDS,
			new SynchronousQueue<>(), (work) -> new Thread(null, work, "caller", STACK_BYTES),
			(work, executor) -> reportOverflow());

	private final ScheduledExecutorService leaver = Executors.newSingleThreadScheduledExecutor();

	private volatile double rateFactor = 1;

	private volatile Leaving leaving = new Leaving(0, 1);

	private volatile boolean ending;

	/**
	 * Creates callers that submit nothing yet.
	 * @param cluster the processes
	 * @param checker checks what the callers observe
	 * @param trace receives a line for each attempt
	 * @param undisturbed whether no fault acts on the system
	 * @param load the rate and the time that a caller waits
	 * @param seed seed of the arrivals
	 */
	SiteCallers(Cluster cluster, GuaranteeChecker checker, Consumer<String> trace, BooleanSupplier undisturbed,
			Load load, long seed) {
		this.cluster = cluster;
		this.balancer = cluster.balancer();
		this.checker = checker;
		this.trace = trace;
		this.undisturbed = undisturbed;
		this.load = load;
		this.random = new Random(seed);
	}

	private static int[][] createJobsOfSites() {
		int[] counts = { 4, 1, 11 };
		return IntStream.range(0, JOBS.length)
			.boxed()
			.flatMap((job) -> Collections.nCopies(counts[job], JOBS[job]).stream())
			.toArray(int[][]::new);
	}

	/**
	 * Returns the capacity that an endpoint needs for a load.
	 * @param load the jobs and the share of the capacity that they use
	 * @param endpoints number of endpoints
	 * @return the capacity in thousandths of a core
	 */
	static int requiredCapacity(Load load, int endpoints) {
		double meanCoreMillis = Arrays.stream(load.jobs()).mapToInt((job) -> job[0] * job[1]).average().orElseThrow()
				* MEAN_PROLONGATION;
		int cores = (int) Math
			.ceil(load.rate() * meanCoreMillis / MILLIS_PER_SECOND * 100 / load.percent() / endpoints);
		return ((load.percent() == DEFAULT_LOAD_PERCENT) ? Math.max(MIN_CORES, cores) : cores) * 1_000;
	}

	/**
	 * Changes the rate.
	 * @param factor by which the rate of the load is multiplied from now on
	 */
	void setRateFactor(double factor) {
		this.rateFactor = factor;
	}

	long answered() {
		return this.answered.get();
	}

	long served() {
		return this.served.get();
	}

	void start() {
		Thread arrivals = new Thread(this::submitJobs, "arrivals");
		arrivals.setDaemon(true);
		arrivals.start();
	}

	/**
	 * Sets which callers reset their connection soon after a request.
	 * @param percent the share of the callers in percent
	 * @param maxMillis the longest time after the request in milliseconds
	 */
	void setLeaving(int percent, int maxMillis) {
		this.leaving = new Leaving(percent, maxMillis);
	}

	private void submitJobs() {
		long startMillis = this.checker.millis();
		double dueMillis = startMillis;
		try {
			while (!this.ending) {
				double ramp = this.load.atOnce() ? this.rateFactor
						: Math.min(1, MIN_RAMP + (dueMillis - startMillis) / RAMP_MILLIS) * this.rateFactor;
				dueMillis += -Math.log(1 - this.random.nextDouble()) * MILLIS_PER_SECOND / this.load.rate() / ramp;
				long waitMillis = (long) dueMillis - this.checker.millis();
				if (waitMillis > 0) {
					sleep(waitMillis);
				}
				int[] job = this.load.jobs()[this.random.nextInt(this.load.jobs().length)];
				this.executor.execute(() -> submitJob(job[1], job[0]));
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void reportOverflow() {
		if (!this.ending) {
			this.checker.reportViolation("SOAK", "more than " + MAX_WAITING_CALLERS + " callers wait");
		}
	}

	private void submitJob(int tasks, long runMillis) {
		Caller caller = this.idle.poll();
		if (caller == null) {
			caller = new Caller(this.callerCount.incrementAndGet());
		}
		try {
			boolean completed = caller.submit(tasks, runMillis);
			this.answered.incrementAndGet();
			if (completed) {
				this.served.incrementAndGet();
			}
			this.idle.add(caller);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

	void stop() throws InterruptedException {
		this.ending = true;
		this.executor.shutdown();
		this.executor.awaitTermination(10, TimeUnit.SECONDS);
	}

	@Override
	public void close() {
		this.ending = true;
		this.executor.shutdownNow();
		this.leaver.shutdownNow();
	}

	/** The callers that reset their connection, and how long after a request. */
	private record Leaving(int percent, int maxMillis) {
	}

	/**
	 * The load of a run.
	 *
	 * @param rate jobs a second, 0 for callers that each wait for their previous job
	 * @param waitMillis the time that a caller waits for an answer, in milliseconds
	 * @param percent the share of the endpoints' capacity that the jobs use without
	 * faults
	 * @param atOnce whether the jobs arrive at the full rate at once and each kind as
	 * often as on the sites
	 */
	record Load(int rate, int waitMillis, int percent, boolean atOnce) {

		/** Callers in a closed loop, which is what the plans of the first seeds need. */
		static final Load CLOSED = new Load(0, 0, DEFAULT_LOAD_PERCENT);

		Load(int rate, int waitMillis, int percent) {
			this(rate, waitMillis, percent, false);
		}

		boolean isClosed() {
			return this.rate == 0;
		}

		private int[][] jobs() {
			return this.atOnce ? JOBS_OF_SITES : JOBS;
		}

	}

	private final class Caller {

		private final int number;

		private final JobsClient client = new JobsClient();

		private int entry = -1;

		Caller(int number) {
			this.number = number;
		}

		boolean submit(int tasks, long runMillis) throws InterruptedException {
			String id = String.format("%016x", SiteCallers.this.lastJobNumber.incrementAndGet());
			SiteCallers.this.checker.onSubmitted(id, tasks, JobsClient.spec(runMillis));
			long end = SiteCallers.this.checker.millis() + GIVE_UP_MILLIS;
			boolean refused = true;
			boolean completed = false;
			boolean resubmits = true;
			for (int attempt = 0; resubmits; attempt++) {
				chooseEntry(attempt);
				Attempt result = submitOnce(id, tasks, runMillis);
				completed = result == Attempt.COMPLETED;
				refused &= result == Attempt.NOT_RUN || result == Attempt.NOT_CONNECTED;
				resubmits = !SiteCallers.this.ending
						&& (result == Attempt.UNANSWERED || result == Attempt.NOT_CONNECTED)
						&& SiteCallers.this.checker.millis() + RESUBMIT_DELAY_MILLIS < end;
				if (resubmits) {
					sleep(RESUBMIT_DELAY_MILLIS);
				}
			}
			SiteCallers.this.checker.onSubmissionEnded(id, refused, completed);
			return completed;
		}

		private void chooseEntry(int attempt) {
			boolean stays = attempt == 0 && this.entry >= 0
					&& this.client.isConnected(SiteCallers.this.balancer.path(this.entry).port());
			if (!stays) {
				this.entry = SiteCallers.this.balancer.choose(this.number, attempt, (attempt > 0) ? this.entry : -1);
			}
		}

		private Attempt submitOnce(String id, int tasks, long runMillis) {
			FaultProxy path = SiteCallers.this.balancer.path(this.entry);
			SystemProcess process = SiteCallers.this.cluster.entries().get(this.entry);
			boolean wasUndisturbed = SiteCallers.this.undisturbed.getAsBoolean() && process.isAlive();
			long sentMillis = SiteCallers.this.checker.millis();
			SiteCallers.this.trace.accept(id + " submitted to " + process.name());
			Optional<Future<?>> leave = scheduleLeave(id);
			try {
				JobsClient.Reply reply = this.client.submit(path.port(), QUEUE_ROUTE, id, tasks, runMillis,
						SiteCallers.this.load.waitMillis());
				SiteCallers.this.trace.accept(id + " answered by " + process.name() + ": " + reply.statusCode());
				return toAttempt(id, reply);
			}
			catch (IOException ex) {
				SiteCallers.this.trace.accept(id + " not answered by " + process.name() + ": " + ex);
				if (path.hasRefused(this.client.lastLocalPort())) {
					return Attempt.NOT_CONNECTED;
				}
				// A caller that gives up after its wait is not cut, only late.
				if (wasUndisturbed && SiteCallers.this.undisturbed.getAsBoolean()
						&& !(ex instanceof SocketTimeoutException)) {
					SiteCallers.this.checker.reportViolation("LOST", id + " at " + process.name() + " after "
							+ (SiteCallers.this.checker.millis() - sentMillis) + " ms: " + ex);
				}
				return Attempt.UNANSWERED;
			}
			finally {
				leave.ifPresent((future) -> future.cancel(false));
			}
		}

		private Optional<Future<?>> scheduleLeave(String id) {
			Leaving current = SiteCallers.this.leaving;
			if (Math.floorMod(this.number * SPREAD, 100) >= current.percent()) {
				return Optional.empty();
			}
			int delayMillis = Math.floorMod(Objects.hash(id, this.entry), current.maxMillis());
			return Optional
				.of(SiteCallers.this.leaver.schedule(this.client::reset, delayMillis, TimeUnit.MILLISECONDS));
		}

		private Attempt toAttempt(String id, JobsClient.Reply reply) {
			if (reply.statusCode() == 200 && reply.body().contains("completed")) {
				return Attempt.COMPLETED;
			}
			if (reply.statusCode() == 429 || reply.statusCode() == 503) {
				return Attempt.NOT_RUN;
			}
			if (reply.statusCode() != 504) {
				SiteCallers.this.checker.reportViolation("ANSWER",
						id + " was answered with " + reply.statusCode() + " " + reply.body());
			}
			return Attempt.UNANSWERED;
		}

	}

	/** How an attempt to submit a job ended. */
	private enum Attempt {

		COMPLETED, NOT_RUN, NOT_CONNECTED, UNANSWERED

	}

}
