package io.coriandermux.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.stream.Collectors;

import io.coriandermux.platform.standin.RunnerStandIn;

/**
 * Faults of the plans of cold runs, which act on many processes or endpoints at once.
 */
final class ColdFaults {

	private static final double BURST_FACTOR = 1.3;

	private static final int UNANSWERED_PERCENT = 5;

	private static final int MIN_DELAY_MILLIS = 2_000;

	private static final int DELAY_RANGE_MILLIS = 10_000;

	/** Half the objective of the jobs of the sites, and the other value of their days. */
	private static final int[] LEAVE_MILLIS = { 30, 900 };

	/** Orders whose answers are lost are carried out within this time. */
	private static final int LOST_ANSWER_MILLIS = 200;

	private static final int AFFECTED_PERCENT = 35;

	private final Cluster cluster;

	private final SiteCallers callers;

	private final Consumer<String> trace;

	private final LongConsumer disturbance;

	/**
	 * Creates the faults of a run.
	 * @param cluster the processes
	 * @param callers the callers at a given rate
	 * @param trace receives a line for each fault that selects processes
	 * @param disturbance receives for how many milliseconds a fault disturbs the system
	 */
	ColdFaults(Cluster cluster, SiteCallers callers, Consumer<String> trace, LongConsumer disturbance) {
		this.cluster = cluster;
		this.callers = callers;
		this.trace = trace;
		this.disturbance = disturbance;
	}

	void inject(Fault fault) throws InterruptedException {
		this.disturbance.accept(fault.forMillis());
		switch (fault.kind()) {
			case BURST -> {
				this.callers.setRateFactor(BURST_FACTOR);
				sleep(fault.forMillis());
				this.callers.setRateFactor(1);
			}
			case GIVE_UP -> {
				int maxMillis = LEAVE_MILLIS[fault.target() % LEAVE_MILLIS.length];
				this.trace.accept("callers leave within " + maxMillis + " ms");
				this.callers.setLeaving(AFFECTED_PERCENT, maxMillis);
				sleep(fault.forMillis());
				this.callers.setLeaving(0, 1);
			}
			case UNANSWERED_ORDERS -> delayOrders(fault);
			case REFUSE_STORE -> refuseStore(fault);
			case CUT_GUARDS -> cutGuards(fault);
			default -> throw new IllegalArgumentException("no fault of a cold run: " + fault.kind());
		}
	}

	private void delayOrders(Fault fault) throws InterruptedException {
		this.disturbance.accept(fault.forMillis() + MIN_DELAY_MILLIS + DELAY_RANGE_MILLIS);
		RunnerStandIn.LateOrders late = (fault.target() % 3 == 0)
				? new RunnerStandIn.LateOrders(UNANSWERED_PERCENT, true, false, 1, LOST_ANSWER_MILLIS)
				: new RunnerStandIn.LateOrders(UNANSWERED_PERCENT, true, false, MIN_DELAY_MILLIS, DELAY_RANGE_MILLIS);
		this.trace.accept("all endpoints have " + late);
		this.cluster.endpoints().forEach((endpoint) -> endpoint.setLateOrders(late));
		sleep(fault.forMillis());
		this.cluster.endpoints().forEach((endpoint) -> endpoint.setLateOrders(RunnerStandIn.LateOrders.NONE));
	}

	private void refuseStore(Fault fault) throws InterruptedException {
		List<SystemProcess> refused = drawAffected(this.cluster.processes(), fault);
		this.trace.accept("the store refuses " + names(refused));
		refused.forEach((process) -> this.cluster.storeLink(process).setMode(FaultProxy.Mode.REFUSE));
		Set<String> names = names(refused);
		this.cluster.store().revoke((key) -> names.contains(key.substring(key.lastIndexOf('/') + 1)));
		sleep(fault.forMillis());
		refused.forEach((process) -> this.cluster.storeLink(process).setMode(FaultProxy.Mode.PASS));
	}

	private void cutGuards(Fault fault) throws InterruptedException {
		List<SystemProcess> guards = drawAffected(this.cluster.guards(), fault);
		this.trace.accept("cut off " + names(guards));
		List<FaultProxy> links = new ArrayList<>();
		guards.forEach((guard) -> {
			links.add(this.cluster.storeLink(guard));
			this.cluster.peerLink(guard).ifPresent(links::add);
		});
		links.forEach((link) -> link.setMode(FaultProxy.Mode.SILENT));
		sleep(fault.forMillis());
		links.forEach((link) -> link.setMode(FaultProxy.Mode.PASS));
	}

	private static List<SystemProcess> drawAffected(List<SystemProcess> processes, Fault fault) {
		List<SystemProcess> affected = new ArrayList<>(processes);
		Collections.shuffle(affected, new Random(fault.target()));
		return affected.subList(0, Math.max(1, processes.size() * AFFECTED_PERCENT / 100));
	}

	private static Set<String> names(List<SystemProcess> processes) {
		return processes.stream().map(SystemProcess::name).collect(Collectors.toSet());
	}

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

}
