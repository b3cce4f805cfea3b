package io.coriandermux.bench.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import io.coriandermux.bench.policy.VirtualTime;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.lease.ActiveRun;
import io.coriandermux.core.lease.EndedRun;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointOrders;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.lease.LeaseManager;
import io.coriandermux.core.lease.LeaseTerms;
import io.coriandermux.core.lease.OrderResult;
import io.coriandermux.core.lease.Poll;
import io.coriandermux.core.lease.PollAnswer;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * An endpoint that runs tasks under the lease of its guard. It executes orders in virtual
 * time and may leave some of them unanswered and execute them later.
 */
final class SimulatedEndpoint implements EndpointOrders {

	static final PoolName POOL = new PoolName("pool");

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long CALL_NANOS = 300_000;

	/** Timeout after which the guard considers an order unanswered. */
	private static final long CALL_TIMEOUT_NANOS = 150 * NANOS_PER_MILLI;

	/** Memory is not scarce in the simulated loads. */
	private static final long MEMORY_MB = 1 << 20;

	private static final int PERCENT = 100;

	private final BatchSimulation simulation;

	private final VirtualTime time;

	private final BatchLoad.EndpointModel model;

	private final double lateOrderShare;

	private final SplittableRandom random;

	private final EndpointIncarnation incarnation;

	private final Map<RunId, Execution> active = new LinkedHashMap<>();

	private final Map<RunId, Integer> stoppedAttempts = new LinkedHashMap<>();

	private final List<EndedRun> ended = new ArrayList<>();

	private LeaseManager guard;

	private Poll waitingPoll;

	private long usedMillicores;

	private long ends;

	private long sequence;

	private long leaseUntilMillis;

	private double busyMillicoreNanos;

	SimulatedEndpoint(int number, BatchSimulation simulation) {
		this.simulation = simulation;
		this.time = simulation.time();
		this.model = simulation.load().endpoints().get(number);
		this.lateOrderShare = simulation.load().lateOrderShare();
		this.random = simulation.newRandom();
		this.incarnation = new EndpointIncarnation("endpoint-" + number, 1);
	}

	/**
	 * Connects the endpoint to a new guard, to which it reports at once.
	 * @param newGuard the guard
	 */
	void connect(LeaseManager newGuard) {
		this.guard = newGuard;
		this.waitingPoll = null;
		this.sequence++;
		newGuard.onHeartbeat(new EndpointReport(this.incarnation, this.sequence, POOL, Set.of(),
				new ResourceAmounts(this.model.millicores(), MEMORY_MB, 0), false), this.time.now());
	}

	/**
	 * Returns the time for which capacity was used by runs, in millicores times
	 * nanoseconds.
	 * @return the sum over all runs
	 */
	double busyMillicoreNanos() {
		return this.busyMillicoreNanos;
	}

	@Override
	public void start(LeaseTerms lease, RunId run, String spec) {
		LeaseManager sender = this.guard;
		if (this.random.nextDouble() < this.lateOrderShare) {
			this.time.scheduleAfter(CALL_TIMEOUT_NANOS, () -> answerStart(sender, run, OrderResult.UNANSWERED));
			long delay = (long) ((1 + 2 * this.random.nextDouble()) * 1000 * NANOS_PER_MILLI);
			this.time.scheduleAfter(delay, () -> execute(lease, run));
			return;
		}
		this.time.scheduleAfter(CALL_NANOS, () -> {
			OrderResult result = execute(lease, run);
			this.time.scheduleAfter(CALL_NANOS, () -> answerStart(sender, run, result));
		});
	}

	private void answerStart(LeaseManager sender, RunId run, OrderResult result) {
		if (sender == this.guard) {
			OptionalLong clock = (result == OrderResult.UNANSWERED) ? OptionalLong.empty()
					: OptionalLong.of(clockMillis());
			sender.onStartAnswered(run, result, clock, this.time.now());
		}
	}

	private OrderResult execute(LeaseTerms lease, RunId run) {
		long millicores = this.simulation.millicores(run);
		if (isSuperseded(run)) {
			return OrderResult.SUPERSEDED;
		}
		if (lease.expiresAtMillis().orElse(this.leaseUntilMillis) < clockMillis()) {
			return OrderResult.LEASE_PASSED;
		}
		if (this.usedMillicores + millicores > this.model.millicores()) {
			return OrderResult.NO_ROOM;
		}
		renewLease(lease);
		Execution execution = new Execution(this.time.nanos(),
				(long) (this.simulation.workNanos(run) / this.model.speed()), millicores);
		this.active.put(run, execution);
		this.usedMillicores += millicores;
		this.time.scheduleAfter(execution.runNanos(), () -> end(run, execution, RunOutcome.DONE));
		return OrderResult.ACCEPTED;
	}

	private boolean isSuperseded(RunId run) {
		RunId task = new RunId(run.batch(), run.phase(), run.index(), 0);
		return this.stoppedAttempts.getOrDefault(task, 0) >= run.attempt() || this.active.containsKey(run);
	}

	private void end(RunId run, Execution execution, RunOutcome outcome) {
		if (this.active.get(run) != execution) {
			return;
		}
		this.active.remove(run);
		this.usedMillicores -= execution.millicores();
		this.busyMillicoreNanos += (double) execution.millicores() * (this.time.nanos() - execution.startNanos());
		this.stoppedAttempts.merge(new RunId(run.batch(), run.phase(), run.index(), 0), run.attempt(), Math::max);
		this.ends++;
		this.ended.add(new EndedRun(this.ends, run, outcome));
		if (this.waitingPoll != null) {
			answerPoll(this.guard, this.waitingPoll);
		}
	}

	@Override
	public void stop(LeaseTerms lease, RunId run) {
		LeaseManager sender = this.guard;
		this.time.scheduleAfter(CALL_NANOS, () -> {
			Execution execution = this.active.get(run);
			this.stoppedAttempts.merge(new RunId(run.batch(), run.phase(), run.index(), 0), run.attempt(), Math::max);
			if (execution != null) {
				end(run, execution, RunOutcome.STOPPED);
			}
			this.time.scheduleAfter(CALL_NANOS, () -> {
				if (sender == this.guard) {
					sender.onStopAnswered(run, OrderResult.ACCEPTED, OptionalLong.of(clockMillis()), this.time.now());
				}
			});
		});
	}

	@Override
	public void poll(LeaseTerms lease, Poll poll) {
		LeaseManager sender = this.guard;
		this.time.scheduleAfter(CALL_NANOS, () -> {
			if (sender != this.guard) {
				return;
			}
			renewLease(lease);
			this.ended.removeIf((end) -> end.number() <= poll.highestReceivedEnd());
			if (!this.ended.isEmpty() || poll.waitMillis() == 0) {
				answerPoll(sender, poll);
				return;
			}
			this.waitingPoll = poll;
			this.time.scheduleAfter(poll.waitMillis() * NANOS_PER_MILLI, () -> {
				if (this.waitingPoll == poll && sender == this.guard) {
					answerPoll(sender, poll);
				}
			});
		});
	}

	private void answerPoll(LeaseManager receiver, Poll poll) {
		if (this.waitingPoll == poll) {
			this.waitingPoll = null;
		}
		List<ActiveRun> runs = new ArrayList<>();
		this.active.forEach((run, execution) -> runs.add(new ActiveRun(run,
				(int) (PERCENT * (this.time.nanos() - execution.startNanos()) / Math.max(1, execution.runNanos())))));
		PollAnswer answer = new PollAnswer(clockMillis(), this.incarnation.startedAtMillis(), runs,
				new ArrayList<>(this.ended));
		this.time.scheduleAfter(CALL_NANOS, () -> {
			if (receiver == this.guard) {
				receiver.onPollAnswered(poll, OrderResult.ACCEPTED, Optional.of(answer), this.time.now());
			}
		});
	}

	private void renewLease(LeaseTerms lease) {
		if (lease.expiresAtMillis().isEmpty() || lease.expiresAtMillis().getAsLong() <= this.leaseUntilMillis) {
			return;
		}
		this.leaseUntilMillis = lease.expiresAtMillis().getAsLong();
		this.time.scheduleAt(this.leaseUntilMillis * NANOS_PER_MILLI, this::expireLease);
	}

	private void expireLease() {
		if (clockMillis() >= this.leaseUntilMillis) {
			new ArrayList<>(this.active.entrySet())
				.forEach((entry) -> end(entry.getKey(), entry.getValue(), RunOutcome.LAPSED));
		}
	}

	private long clockMillis() {
		return this.time.nanos() / NANOS_PER_MILLI;
	}

	private record Execution(long startNanos, long runNanos, long millicores) {

	}

}
