package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.coriandermux.core.guard.DrainRequested;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.proof.journal.FaultsEnded;
import io.coriandermux.proof.trace.TraceEvent;

/**
 * Executes the events of a trace at their times, or when the job named {@code probe} or
 * an edit reaches a step. The target {@code entry} is the entry last involved in such a
 * step, {@code guard} the guard last involved.
 */
final class TraceExecutor {

	private static final String PROBE_JOB = "probe";

	private static final long QUEUE_STEP_DELAY_NANOS = 30_000_000;

	private static final long NO_OVERRIDE = -1;

	private final Simulation simulation;

	private final List<TraceEvent> pendingEvents = new ArrayList<>();

	private final Map<Step, Integer> stepCounts = new EnumMap<>(Step.class);

	private String lastEntry = "e1";

	private String lastGuard = "g1";

	private long declaredMillisOverride = NO_OVERRIDE;

	TraceExecutor(Simulation simulation) {
		this.simulation = simulation;
	}

	void schedule(List<TraceEvent> events) {
		for (TraceEvent event : events) {
			if (event.isTriggeredByStep()) {
				this.pendingEvents.add(event);
			}
			else {
				this.simulation.clock()
					.scheduleAt(event.number() * SimulatedClock.NANOS_PER_MILLI, () -> perform(event));
			}
		}
	}

	// Executes the events that wait for a step. Ignores steps of jobs other than the
	// probe, and watch and apply steps before the first write of an edit.
	void onStep(Step step, SimulatedProcess actor, String peer, JobKey job) {
		if (step.isJobStep() && !isProbe(job)) {
			return;
		}
		boolean isConfigDelivery = step == Step.WATCH || step == Step.APPLY;
		if (isConfigDelivery && !this.stepCounts.containsKey(Step.WRITE)) {
			return;
		}
		recordInvolved((actor != null) ? actor.name() : "");
		recordInvolved(peer);
		int count = this.stepCounts.merge(step, 1, Integer::sum);
		if (step == Step.ADMIT) {
			this.simulation.clock().scheduleAfter(QUEUE_STEP_DELAY_NANOS, () -> onStep(Step.QUEUE, actor, peer, job));
		}
		String name = step.name().toLowerCase(Locale.ROOT);
		for (TraceEvent event : new ArrayList<>(this.pendingEvents)) {
			if (event.step().equals(name) && event.number() == count) {
				this.pendingEvents.remove(event);
				perform(event);
			}
		}
	}

	// Handles the acceptance of a job by an entry.
	void onJobAccepted(SimulatedProcess entry, String subject) {
		Caller probe = this.simulation.caller(PROBE_JOB);
		if (probe != null && probe.key() != null
				&& (subject.equals(probe.key().toString()) || subject.equals(probe.key().job()))) {
			onStep(Step.ADMIT, entry, entry.name(), probe.key());
		}
	}

	private boolean isProbe(JobKey job) {
		Caller probe = this.simulation.caller(PROBE_JOB);
		return job != null && probe != null && job.equals(probe.key());
	}

	private void recordInvolved(String process) {
		if (SimulatedCluster.ENTRIES.contains(process)) {
			this.lastEntry = process;
		}
		else if (SimulatedCluster.GUARDS.contains(process)) {
			this.lastGuard = process;
		}
	}

	private String target(TraceEvent event) {
		String name = event.text("target", "entry");
		if (name.equals("entry")) {
			return this.lastEntry;
		}
		return name.equals("guard") ? this.lastGuard : name;
	}

	private void perform(TraceEvent event) {
		long durationNanos = event.number("for", 0) * SimulatedClock.NANOS_PER_MILLI;
		switch (event.action()) {
			case "submit" -> this.simulation.submitJob(plan(event));
			case "cancel-all" -> this.simulation.callers().forEach(Caller::cancel);
			case "burst" -> burst(event);
			case "missize" -> this.declaredMillisOverride = event.number("declared", 0);
			case "edit" -> this.simulation.startEdit(new Operator(this.simulation, event.text("name", "edit"),
					new OwnerId(event.text("owner", SimulatedCluster.GUILD.value())), (int) event.number("quota", 1)));
			case "faults-end" -> this.simulation.journal().add(new FaultsEnded(this.simulation.clock().now()));
			case "store-down" -> this.simulation.store().takeDown(durationNanos);
			case "store-slow" -> this.simulation.store()
				.slowDown(durationNanos, event.number("call", 0) * SimulatedClock.NANOS_PER_MILLI);
			case "store-lose" -> this.simulation.store().loseNextWriteAnswers((int) event.number("count", 1));
			case "store-stale" -> this.simulation.store().deliverStaleSnapshots(durationNanos);
			case "disorder" -> this.simulation.network().disorder(durationNanos, (int) event.number("percent", 0));
			case "cut" -> this.simulation.network().cut(target(event), event.text("peer", ""), durationNanos);
			default -> injectProcessFault(event, target(event), durationNanos);
		}
	}

	private void injectProcessFault(TraceEvent event, String target, long durationNanos) {
		switch (event.action()) {
			case "kill" -> kill(target, durationNanos);
			case "pause" -> this.simulation.process(target).pause(durationNanos);
			case "silence" -> silence(target, event.text("peer", ""));
			case "endpoint-down" -> endpoint(target).takeDown(durationNanos);
			case "endpoint-slow" -> endpoint(target).slowDown(durationNanos, event.number("factor", 1));
			case "endpoint-fail" -> endpoint(target).failAll(durationNanos);
			case "drain" -> drain(target, event.number("grace", 0));
			case "shutdown" -> shutDown(target);
			case "start" -> restart(target);
			default -> throw new IllegalArgumentException("no such event: " + event);
		}
	}

	private JobPlan plan(TraceEvent event) {
		JobPlan plan = JobPlan.of(event);
		return (this.declaredMillisOverride != NO_OVERRIDE) ? plan.withDeclaredMillis(this.declaredMillisOverride)
				: plan;
	}

	private void burst(TraceEvent event) {
		for (int i = 0; i < event.number("count", 1); i++) {
			JobPlan plan = plan(event);
			this.simulation.submitJob(plan.withName(plan.name() + "-" + i));
		}
	}

	private void kill(String target, long durationNanos) {
		SimulatedProcess process = this.simulation.process(target);
		if (process.isDead()) {
			return;
		}
		this.simulation.killProcess(target);
		if (durationNanos > 0) {
			this.simulation.clock().scheduleAfter(durationNanos, () -> restart(target));
		}
	}

	private void restart(String target) {
		if (this.simulation.process(target).isDead()) {
			this.simulation.startProcess(target);
		}
	}

	private void silence(String target, String peer) {
		for (Link link : this.simulation.network().linksOf(target)) {
			boolean matches = peer.isEmpty() || link.opener().equals(peer) || link.acceptor().equals(peer);
			if (matches) {
				link.silence();
			}
		}
	}

	private FakeEndpoint endpoint(String guard) {
		return this.simulation.endpoint(new GuardId(guard));
	}

	private void drain(String target, long graceMillis) {
		if (this.simulation.process(target) instanceof GuardProcess guard) {
			guard.deliver(() -> guard.handle(new DrainRequested(graceMillis)));
		}
	}

	private void shutDown(String target) {
		if (this.simulation.process(target) instanceof EntryProcess entry) {
			entry.deliver(entry::shutDown);
		}
	}

}
