package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.lease.ActiveRun;
import io.coriandermux.core.lease.EndedRun;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.lease.LeaseTerms;
import io.coriandermux.core.lease.OrderResult;
import io.coriandermux.core.lease.Poll;
import io.coriandermux.core.lease.PollAnswer;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * An endpoint that runs tasks under a lease as the platform's protocol describes it.
 */
final class ModelEndpoint {

	static final PoolName POOL = new PoolName("pool");

	static final ResourceAmounts NEEDS = new ResourceAmounts(1_000, 100, 0);

	private static final long MAX_LEASE_MILLIS = 1_000;

	private static final long MIN_CALL_NANOS = 200_000;

	private static final long MAX_CALL_NANOS = 1_000_000;

	private static final long MAX_STOP_MILLIS = 20;

	private static final int PERCENT = 100;

	private final String name;

	private final ModelClock clock;

	private final ModelTrace trace;

	private final SplittableRandom random;

	private final RunChecker checker;

	private final int slots;

	private final double clockRate;

	private final Map<RunId, Execution> active = new LinkedHashMap<>();

	private final Map<RunId, Integer> endedAttempts = new LinkedHashMap<>();

	private final List<EndedRun> ended = new ArrayList<>();

	private final List<WaitingPoll> waitingPolls = new ArrayList<>();

	private final List<CallAnswer> openCalls = new ArrayList<>();

	private BiFunction<OrderKind, RunId, OrderFate> fates = (kind, run) -> OrderFate.NORMAL;

	private Consumer<RunId> startListener = (run) -> {
	};

	private LongSupplier answerDelayMillis = () -> 0;

	private EndpointIncarnation incarnation;

	private boolean up = true;

	private long lifeStartNanos;

	private long highestToken;

	private long leaseUntilMillis;

	private long lastEnd;

	private long lastReport;

	ModelEndpoint(String name, int slots, double clockRate, ModelClock clock, ModelTrace trace, SplittableRandom random,
			RunChecker checker) {
		this.name = name;
		this.slots = slots;
		this.clockRate = clockRate;
		this.clock = clock;
		this.trace = trace;
		this.random = random;
		this.checker = checker;
		this.incarnation = new EndpointIncarnation(name, 1);
	}

	String name() {
		return this.name;
	}

	/**
	 * Sets what happens to each order.
	 * @param value returns the fate of an order; the run is null for a poll
	 */
	void setFates(BiFunction<OrderKind, RunId, OrderFate> value) {
		this.fates = value;
	}

	/**
	 * Sets what is called when a run has started, before the guard receives the answer.
	 * @param value receives the run
	 */
	void setStartListener(Consumer<RunId> value) {
		this.startListener = value;
	}

	/**
	 * Sets by how much answers are late. They may overtake each other.
	 * @param value returns the delay of an answer in milliseconds
	 */
	void setAnswerDelay(LongSupplier value) {
		this.answerDelayMillis = value;
	}

	List<RunId> activeRuns() {
		return List.copyOf(this.active.keySet());
	}

	boolean isActive(RunId run) {
		return this.active.containsKey(run);
	}

	boolean isUp() {
		return this.up;
	}

	long clockMillis() {
		return (long) ((this.clock.nanos() - this.lifeStartNanos) * this.clockRate) / ModelClock.NANOS_PER_MILLI;
	}

	/**
	 * Crashes. Orders that are held up on their way may be carried out by the next
	 * incarnation.
	 * @param closesConnections whether calls in progress fail at once; otherwise they
	 * time out
	 */
	void crash(boolean closesConnections) {
		this.trace.add(this.name, "FAULT crashes with " + this.active.size() + " runs");
		this.up = false;
		this.active.keySet().forEach((run) -> this.checker.onEnded(this, run));
		this.active.clear();
		this.endedAttempts.clear();
		this.ended.clear();
		this.waitingPolls.clear();
		List<CallAnswer> open = List.copyOf(this.openCalls);
		this.openCalls.clear();
		if (closesConnections) {
			open.forEach((call) -> call.onAnswer(OrderResult.UNANSWERED, OptionalLong.empty(), Optional.empty()));
		}
	}

	/**
	 * Starts the next incarnation, which knows nothing of the previous one.
	 * @param sameId whether it has the same id
	 */
	void restart(boolean sameId) {
		this.lifeStartNanos = this.clock.nanos();
		this.highestToken = 0;
		this.leaseUntilMillis = 0;
		this.lastEnd = 0;
		this.lastReport = 0;
		this.incarnation = new EndpointIncarnation(sameId ? this.incarnation.id() : this.incarnation.id() + "+",
				this.clock.nanos() / ModelClock.NANOS_PER_MILLI);
		this.up = true;
		this.trace.add(this.name, "FAULT starts as " + this.incarnation);
	}

	EndpointReport report() {
		this.lastReport++;
		return new EndpointReport(this.incarnation, this.lastReport, POOL, Set.of(),
				new ResourceAmounts(NEEDS.millicores() * this.slots, NEEDS.memoryMb() * this.slots, 0), false);
	}

	void start(LeaseTerms terms, RunId run, long runMillis, CallAnswer answer) {
		call(OrderKind.START, run, terms, answer, (lease, late) -> {
			OrderResult result = executeStart(lease, run, runMillis, late);
			this.trace.add(this.name,
					"start " + run + (late ? " late" : "") + ", token " + lease.token() + ": " + result);
			answer(answer, result);
		});
	}

	private OrderResult executeStart(LeaseTerms lease, RunId run, long runMillis, boolean late) {
		if (isFenced(lease)) {
			return OrderResult.FENCED;
		}
		if (lease.expiresAtMillis().orElse(this.leaseUntilMillis) <= clockMillis()) {
			return OrderResult.LEASE_PASSED;
		}
		extendLease(lease);
		if (this.active.containsKey(run)) {
			return OrderResult.ACCEPTED;
		}
		if (this.endedAttempts.getOrDefault(RunChecker.task(run), 0) >= run.attempt()) {
			return OrderResult.SUPERSEDED;
		}
		if (this.active.size() >= this.slots) {
			return OrderResult.NO_ROOM;
		}
		Execution execution = new Execution(this.clock.nanos(), runMillis);
		this.active.put(run, execution);
		this.checker.onStarted(this, run, late);
		this.clock.afterMillis(runMillis, () -> end(run, execution, RunOutcome.DONE));
		this.startListener.accept(run);
		return OrderResult.ACCEPTED;
	}

	void stop(LeaseTerms terms, RunId run, CallAnswer answer) {
		call(OrderKind.STOP, run, terms, answer, (lease, late) -> {
			if (isFenced(lease)) {
				answer(answer, OrderResult.FENCED);
				return;
			}
			this.trace.add(this.name, "stop " + run + (this.active.containsKey(run) ? "" : ", not active"));
			this.endedAttempts.merge(RunChecker.task(run), run.attempt(), Math::max);
			Execution execution = this.active.get(run);
			if (execution != null) {
				this.clock.afterMillis(this.random.nextLong(MAX_STOP_MILLIS),
						() -> end(run, execution, RunOutcome.STOPPED));
			}
			answer(answer, OrderResult.ACCEPTED);
		});
	}

	void poll(LeaseTerms terms, Poll poll, CallAnswer answer) {
		call(OrderKind.POLL, null, terms, answer, (lease, late) -> {
			if (isFenced(lease)) {
				answer(answer, OrderResult.FENCED);
				return;
			}
			extendLease(lease);
			this.ended.removeIf((end) -> end.number() <= poll.highestReceivedEnd());
			WaitingPoll waiting = new WaitingPoll(answer);
			this.waitingPolls.add(waiting);
			if (!this.ended.isEmpty()) {
				answerPoll(waiting);
			}
			else {
				this.clock.afterMillis(poll.waitMillis(), () -> answerPoll(waiting));
			}
		});
	}

	private void answerPoll(WaitingPoll waiting) {
		if (!this.waitingPolls.remove(waiting)) {
			return;
		}
		List<ActiveRun> runs = new ArrayList<>();
		this.active.forEach((run, execution) -> runs.add(new ActiveRun(run, percent(execution))));
		PollAnswer contents = new PollAnswer(clockMillis(), this.incarnation.startedAtMillis(), runs,
				List.copyOf(this.ended));
		this.clock.after(answerNanos(), () -> waiting.answer()
			.onAnswer(OrderResult.ACCEPTED, OptionalLong.of(contents.clockMillis()), Optional.of(contents)));
	}

	private int percent(Execution execution) {
		return (int) (PERCENT * (this.clock.nanos() - execution.startNanos())
				/ (execution.runMillis() * ModelClock.NANOS_PER_MILLI));
	}

	private void call(OrderKind kind, RunId run, LeaseTerms terms, CallAnswer answer, Execute execute) {
		if (!this.up) {
			this.clock.after(callNanos(),
					() -> answer.onAnswer(OrderResult.NOT_SENT, OptionalLong.empty(), Optional.empty()));
			return;
		}
		OrderFate fate = this.fates.apply(kind, run);
		if (fate != OrderFate.NORMAL && kind != OrderKind.POLL) {
			this.trace.add(this.name, "FAULT order " + kind + " " + run + " gets " + fate);
		}
		if (!fate.executed()) {
			return;
		}
		answer.setAnswered(fate.answered());
		this.openCalls.removeIf(CallAnswer::isCompleted);
		this.openCalls.add(answer);
		EndpointIncarnation addressed = this.incarnation;
		boolean late = fate.delayMillis() > 0;
		LeaseTerms lease = fate.leaseFromArrival() ? shift(terms, (long) (fate.delayMillis() * this.clockRate)) : terms;
		this.clock.after(callNanos() + fate.delayMillis() * ModelClock.NANOS_PER_MILLI, () -> {
			// The connection breaks with the incarnation, but an order that is held up
			// on its way reaches the next one.
			if (!this.up || (!late && addressed != this.incarnation)) {
				return;
			}
			// An order that names no incarnation is carried out by any.
			if (!terms.endpointId().isEmpty() && !terms.endpointId().equals(this.incarnation.id())) {
				answer(answer, OrderResult.OTHER_LIFE);
				return;
			}
			execute.execute(lease, late);
		});
	}

	private static LeaseTerms shift(LeaseTerms terms, long millis) {
		OptionalLong until = terms.expiresAtMillis();
		return new LeaseTerms(terms.endpointId(), terms.token(),
				until.isPresent() ? OptionalLong.of(until.getAsLong() + millis) : until);
	}

	private void answer(CallAnswer answer, OrderResult result) {
		OptionalLong reading = OptionalLong.of(clockMillis());
		this.clock.after(answerNanos(), () -> answer.onAnswer(result, reading, Optional.empty()));
	}

	private long answerNanos() {
		return callNanos() + this.answerDelayMillis.getAsLong() * ModelClock.NANOS_PER_MILLI;
	}

	private long callNanos() {
		return this.random.nextLong(MIN_CALL_NANOS, MAX_CALL_NANOS);
	}

	private boolean isFenced(LeaseTerms lease) {
		if (lease.token() < this.highestToken) {
			return true;
		}
		this.highestToken = lease.token();
		return false;
	}

	private void extendLease(LeaseTerms lease) {
		if (lease.expiresAtMillis().isEmpty()) {
			return;
		}
		long untilMillis = Math.min(lease.expiresAtMillis().getAsLong(), clockMillis() + MAX_LEASE_MILLIS);
		if (untilMillis > this.leaseUntilMillis) {
			this.leaseUntilMillis = untilMillis;
			scheduleExpiry();
		}
	}

	private void scheduleExpiry() {
		long untilMillis = this.leaseUntilMillis;
		EndpointIncarnation holder = this.incarnation;
		double leftNanos = untilMillis * ModelClock.NANOS_PER_MILLI / this.clockRate
				- (this.clock.nanos() - this.lifeStartNanos);
		// One nanosecond more, so that the reading of the clock is not rounded down.
		this.clock.after((long) leftNanos + 1, () -> {
			if (holder == this.incarnation && untilMillis == this.leaseUntilMillis) {
				new LinkedHashMap<>(this.active).forEach((run, execution) -> end(run, execution, RunOutcome.LAPSED));
			}
		});
	}

	private void end(RunId run, Execution execution, RunOutcome outcome) {
		if (this.active.get(run) != execution) {
			return;
		}
		this.trace.add(this.name, "end " + run + " " + outcome);
		this.active.remove(run);
		this.checker.onEnded(this, run);
		this.endedAttempts.merge(RunChecker.task(run), run.attempt(), Math::max);
		this.lastEnd++;
		this.ended.add(new EndedRun(this.lastEnd, run, outcome));
		List.copyOf(this.waitingPolls).forEach(this::answerPoll);
	}

	/**
	 * Carries out an order.
	 */
	@FunctionalInterface
	private interface Execute {

		void execute(LeaseTerms lease, boolean late);

	}

	private record Execution(long startNanos, long runMillis) {

	}

	private record WaitingPoll(CallAnswer answer) {

		@Override
		public boolean equals(Object other) {
			return this == other;
		}

		@Override
		public int hashCode() {
			return System.identityHashCode(this);
		}

	}

}
