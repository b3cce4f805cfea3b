package io.coriandermux.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;

import io.coriandermux.platform.standin.RunnerStandIn;

/**
 * Faults as on the sites of the users: a platform that restarts what ends, paths of
 * callers that break on one side, and VMs that stand still for longer than callers wait.
 */
final class SiteFaults {

	private static final List<FaultProxy.Mode> PATH_FAULTS = List.of(FaultProxy.Mode.LATE_CLOSE,
			FaultProxy.Mode.HOLD_FORTH, FaultProxy.Mode.HOLD_BACK, FaultProxy.Mode.HOLD);

	/** The platform restarts what has ended; callers come back after 1.3 s. */
	private static final int MIN_RESTART_DELAY_MILLIS = 200;

	private static final int RESTART_DELAY_RANGE_MILLIS = 800;

	/** Callers wait for 1.5 s. */
	private static final int MIN_PAUSE_MILLIS = 1_000;

	private static final int PAUSE_RANGE_MILLIS = 2_000;

	/** Callers come back after 1.3 s, and an entry gives a batch up after 1.46 s. */
	private static final int MIN_HALF_OPEN_PAUSE_MILLIS = 1_310;

	private static final int HALF_OPEN_PAUSE_RANGE_MILLIS = 100;

	private static final int HALF_OPEN_MILLIS = 3_000;

	/**
	 * An entry forgets the batches of another one 1.2 s after its last message, and
	 * callers come back after 1.3 s.
	 */
	private static final int MIN_CUT_MILLIS = 2_000;

	private static final int CUT_RANGE_MILLIS = 4_000;

	/** A restart that begins in this time is over when the callers come back. */
	private static final int RESTART_START_RANGE_MILLIS = 600;

	/**
	 * Callers come back 1.3 s after a break, and 2.8 s after a request that they give up.
	 */
	private static final int RETURN_MILLIS = 1_300;

	private static final int RETURN_AFTER_WAIT_MILLIS = 2_800;

	/** An entry announces a batch 0.4 s after it has accepted it. */
	private static final int LATER_RANGE_MILLIS = 400;

	private static final int LEAVE_MILLIS = 20;

	/** Longer than the entry and its callers wait. */
	private static final int UNTOLD_MILLIS = 4_000;

	private static final int MIN_HELD_PERCENT = 5;

	private static final int HELD_PERCENT_RANGE = 26;

	private static final int MIN_IMPAIRMENT_MILLIS = 300;

	private static final int IMPAIRMENT_RANGE_MILLIS = 2_700;

	/** Shorter than most faults, so that those of a series overlap. */
	private static final int SERIES_INTERVAL_MILLIS = 1_500;

	private final Cluster cluster;

	private final ScheduledExecutorService scheduler;

	private final GuaranteeChecker checker;

	private final Consumer<String> trace;

	/** Number of faults that cut a link between entries at present. */
	private final Map<FaultProxy, Integer> cuts = new LinkedHashMap<>();

	private final LongConsumer disturbance;

	private final SilentGuards silentGuards;

	/**
	 * Creates the faults of a run.
	 * @param cluster the processes
	 * @param scheduler ends faults
	 * @param checker receives failures of the soak itself
	 * @param trace receives a line for each part of a fault
	 * @param disturbance receives for how many milliseconds a fault disturbs the system
	 */
	SiteFaults(Cluster cluster, ScheduledExecutorService scheduler, GuaranteeChecker checker, Consumer<String> trace,
			LongConsumer disturbance) {
		this.cluster = cluster;
		this.scheduler = scheduler;
		this.checker = checker;
		this.trace = trace;
		this.disturbance = disturbance;
		this.silentGuards = new SilentGuards(cluster, scheduler, checker, trace, disturbance);
	}

	void inject(Fault fault) throws IOException, InterruptedException {
		// The first values of generators with similar seeds are similar.
		Random choice = new Random(new Random(fault.target() + 1_000L * fault.atMillis()).nextLong());
		for (int remaining = 1 + choice.nextInt(4); remaining > 0; remaining--) {
			switch (fault.kind()) {
				case RESTART_SOON -> restart(drawProcess(choice), choice);
				case HALF_OPEN_CALLERS -> impairPaths(FaultProxy.Mode.HOLD,
						(choice.nextInt(3) != 0) ? FaultProxy.ResetSide.CLIENT : FaultProxy.ResetSide.TARGET, choice);
				case HARM_CALLERS -> {
					FaultProxy.Mode mode = PATH_FAULTS.get(choice.nextInt(PATH_FAULTS.size()));
					impairPaths(mode, (mode == FaultProxy.Mode.LATE_CLOSE) ? FaultProxy.ResetSide.CLIENT
							: FaultProxy.ResetSide.NONE, choice);
				}
				case CUT_HALF_OPEN -> cutHalfOpen(choice);
				case RESTART_HALF_OPEN -> restartHalfOpen(choice);
				case PAUSE_LONG -> pause(drawEntry(choice), drawPauseMillis(choice));
				case FREEZE_RESET -> freeze(choice);
				case PAUSE_HALF_OPEN -> pauseHalfOpen(choice);
				case HOLD_REQUESTS -> holdRequests(choice);
				case SILENT_GUARD -> this.silentGuards.strikeNext(choice);
				case FOREIGN_HEARTBEATS -> sendForeignHeartbeats(choice);
				default -> throw new IllegalArgumentException("no fault of the sites: " + fault.kind());
			}
			sleep(choice.nextInt(SERIES_INTERVAL_MILLIS));
		}
	}

	private SystemProcess drawEntry(Random choice) {
		return this.cluster.entries().get(choice.nextInt(this.cluster.entries().size()));
	}

	private SystemProcess drawProcess(Random choice) {
		return choice.nextBoolean() ? drawEntry(choice)
				: this.cluster.guards().get(choice.nextInt(this.cluster.guards().size()));
	}

	private static int drawPauseMillis(Random choice) {
		return MIN_PAUSE_MILLIS + choice.nextInt(PAUSE_RANGE_MILLIS);
	}

	private void restart(SystemProcess process, Random choice) throws InterruptedException {
		long delayMillis = MIN_RESTART_DELAY_MILLIS + choice.nextInt(RESTART_DELAY_RANGE_MILLIS);
		this.disturbance.accept(delayMillis);
		this.trace.accept("kill " + process.name() + ", restart after " + delayMillis + " ms");
		process.kill();
		process.awaitEnd(Cluster.GRACE_MILLIS);
		endAfter(delayMillis, process::start);
	}

	private void pause(SystemProcess process, long millis) throws IOException, InterruptedException {
		this.disturbance.accept(millis);
		this.trace.accept("pause " + process.name() + " for " + millis + " ms");
		process.pause();
		endAfter(millis, process::resume);
	}

	private void impairPaths(FaultProxy.Mode mode, FaultProxy.ResetSide side, Random choice) {
		int entry = choice.nextInt(this.cluster.entries().size());
		List<FaultProxy> paths = choice.nextBoolean() ? this.cluster.balancer().paths()
				: List.of(this.cluster.balancer().path(entry));
		impair(paths, mode, side, MIN_IMPAIRMENT_MILLIS + choice.nextInt(IMPAIRMENT_RANGE_MILLIS), choice);
	}

	private void impair(List<FaultProxy> paths, FaultProxy.Mode mode, FaultProxy.ResetSide side, long millis,
			Random choice) {
		int percent = 30 + choice.nextInt(71);
		long seed = choice.nextLong();
		this.disturbance.accept(millis);
		this.trace.accept("impair " + percent + "% of the callers of " + paths.size() + " entries: " + mode
				+ ", reset side " + side + ", for " + millis + " ms");
		paths.forEach((path) -> path.impair(mode, side, percent, seed + path.port()));
		endAfter(millis, () -> paths.forEach((path) -> path.release(seed + path.port())));
	}

	private void sendForeignHeartbeats(Random choice) {
		int percent = 10 + choice.nextInt(91);
		List<RunnerStandIn> endpoints = this.cluster.endpoints()
			.stream()
			.filter((endpoint) -> choice.nextInt(100) < percent)
			.toList();
		RunnerStandIn.ForeignHeartbeat[] kinds = RunnerStandIn.ForeignHeartbeat.values();
		this.disturbance.accept(0);
		endpoints.forEach((endpoint) -> endpoint.sendForeignHeartbeat(kinds[choice.nextInt(kinds.length)]));
		this.silentGuards.sendForeignHeartbeat(kinds[choice.nextInt(kinds.length)], choice);
	}

	private void cutHalfOpen(Random choice) throws InterruptedException {
		List<FaultProxy> links = new ArrayList<>(this.cluster.entryLinks());
		if (links.size() > 1 && choice.nextBoolean()) {
			Collections.shuffle(links, choice);
			links.subList(1, links.size()).clear();
		}
		long millis = MIN_CUT_MILLIS + choice.nextInt(CUT_RANGE_MILLIS);
		this.disturbance.accept(millis);
		this.trace.accept("cut the links to " + links.size() + " entries for " + millis + " ms");
		links.forEach(this::cut);
		endAfter(millis, () -> links.forEach(this::endCut));
		sleep(choice.nextInt(SERIES_INTERVAL_MILLIS));
		leaveHalfOpen(choice.nextInt(this.cluster.entries().size()), choice);
	}

	private synchronized void cut(FaultProxy link) {
		this.cuts.merge(link, 1, Integer::sum);
		link.setMode(FaultProxy.Mode.SILENT);
	}

	private synchronized void endCut(FaultProxy link) {
		if (this.cuts.merge(link, -1, Integer::sum) == 0) {
			link.setMode(FaultProxy.Mode.PASS);
		}
	}

	private void restartHalfOpen(Random choice) throws InterruptedException {
		int count = this.cluster.entries().size();
		int left = choice.nextInt(count);
		leaveHalfOpen(left, choice);
		sleep(choice.nextInt(RESTART_START_RANGE_MILLIS));
		restart(this.cluster.entries().get((left + 1 + choice.nextInt(Math.max(1, count - 1))) % count), choice);
	}

	private void leaveHalfOpen(int entry, Random choice) {
		impair(List.of(this.cluster.balancer().path(entry)), FaultProxy.Mode.HOLD, FaultProxy.ResetSide.CLIENT,
				HALF_OPEN_MILLIS, choice);
	}

	private void pauseHalfOpen(Random choice) throws IOException, InterruptedException {
		int number = choice.nextInt(this.cluster.entries().size());
		leaveHalfOpen(number, choice);
		pause(this.cluster.entries().get(number),
				MIN_HALF_OPEN_PAUSE_MILLIS + choice.nextInt(HALF_OPEN_PAUSE_RANGE_MILLIS));
	}

	private void holdRequests(Random choice) {
		int number = choice.nextInt(this.cluster.entries().size());
		boolean waits = choice.nextBoolean();
		RequestHold hold = new RequestHold(MIN_HELD_PERCENT + choice.nextInt(HELD_PERCENT_RANGE),
				waits ? RETURN_AFTER_WAIT_MILLIS : RETURN_MILLIS, LATER_RANGE_MILLIS, waits ? -1 : LEAVE_MILLIS,
				choice.nextBoolean() ? 0 : UNTOLD_MILLIS);
		long millis = MIN_IMPAIRMENT_MILLIS + choice.nextInt(IMPAIRMENT_RANGE_MILLIS);
		this.disturbance.accept(millis + RETURN_AFTER_WAIT_MILLIS + LATER_RANGE_MILLIS + UNTOLD_MILLIS);
		this.trace.accept("hold requests to entry-" + (number + 1) + " for " + millis + " ms: " + hold);
		FaultProxy path = this.cluster.balancer().path(number);
		path.holdRequests(hold, choice.nextLong());
		endAfter(millis, path::stopHolding);
	}

	private void freeze(Random choice) throws IOException, InterruptedException {
		SystemProcess process = drawProcess(choice);
		long millis = drawPauseMillis(choice);
		pause(process, millis);
		sleep(choice.nextInt(SERIES_INTERVAL_MILLIS / 2));
		int percent = 30 + choice.nextInt(71);
		long seed = choice.nextLong();
		this.trace.accept("reset " + percent + "% of the links");
		this.cluster.remoteLinks().forEach((link) -> link.reset(percent, seed + link.port()));
		int number = this.cluster.entries().indexOf(process);
		List<FaultProxy> paths = (number >= 0) ? List.of(this.cluster.balancer().path(number))
				: this.cluster.balancer().paths();
		if (choice.nextBoolean()) {
			this.trace.accept("reset " + percent + "% of the callers of " + paths.size() + " entries");
			paths.forEach((path) -> path.reset(percent, seed + path.port()));
		}
		else {
			impair(paths, FaultProxy.Mode.HOLD, FaultProxy.ResetSide.CLIENT, millis, choice);
		}
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

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

	@FunctionalInterface
	private interface FaultEnd {

		void run() throws IOException, InterruptedException;

	}

}
