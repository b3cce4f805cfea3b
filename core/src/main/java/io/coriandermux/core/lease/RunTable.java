package io.coriandermux.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * The runs that hold resources of an endpoint. A run is in the table from its start order
 * until it has certainly ended.
 */
final class RunTable {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Stop orders of a loaded guard were refused up to 1,400 times a second, so they are
	 * not repeated more often than once per tick.
	 */
	private static final long MIN_STOP_INTERVAL_MILLIS = 20;

	/**
	 * The ends that an endpoint lists within the 400 ms after which a poll counts as
	 * unanswered are fewer.
	 */
	private static final int MAX_LISTED_ENDS = 1024;

	private final LeaseSettings settings;

	private final EndpointOrders orders;

	private final Supplier<LeaseTerms> terms;

	private final PollTracker polls;

	private final BiConsumer<HeldRun, RunOutcome> onEnded;

	private final RunNotices notices;

	private final Map<RunId, HeldRun> runs = new LinkedHashMap<>();

	private final Map<RunId, Long> orphanStops = new LinkedHashMap<>();

	/** The last runs whose end this incarnation of the endpoint has listed. */
	private final Set<RunId> listedEnds = new LinkedHashSet<>();

	private ResourceAmounts used = ResourceAmounts.NONE;

	private boolean unknownRun;

	/**
	 * Creates an empty table.
	 * @param settings timeouts and intervals
	 * @param orders sends orders to the endpoint
	 * @param terms supplies the terms of an order that does not renew the lease
	 * @param polls tracks the polls of the endpoint
	 * @param onEnded called when a run has certainly ended
	 * @param notices receives notices for operators
	 */
	RunTable(LeaseSettings settings, EndpointOrders orders, Supplier<LeaseTerms> terms, PollTracker polls,
			BiConsumer<HeldRun, RunOutcome> onEnded, RunNotices notices) {
		this.settings = settings;
		this.orders = orders;
		this.terms = terms;
		this.polls = polls;
		this.onEnded = onEnded;
		this.notices = notices;
	}

	int size() {
		return this.runs.size();
	}

	boolean isEmpty() {
		return this.runs.isEmpty();
	}

	boolean contains(EntryIncarnation owner, RunId run) {
		return find(owner, run).isPresent();
	}

	Optional<HeldRun> find(RunId run) {
		return Optional.ofNullable(this.runs.get(run));
	}

	Optional<HeldRun> find(EntryIncarnation owner, RunId run) {
		return find(run).filter((held) -> held.owner.equals(owner));
	}

	boolean holdsBatch(BatchId batch) {
		return this.runs.keySet().stream().anyMatch((run) -> run.batch().equals(batch));
	}

	/**
	 * Returns the runs of a batch that an entry has not requested itself.
	 * @param batch the batch
	 * @param owner the entry
	 * @return the runs of other entries and of other incarnations of the entry, in the
	 * order in which they were requested
	 */
	List<HeldRun> listOfOthers(BatchId batch, EntryIncarnation owner) {
		return this.runs.values()
			.stream()
			.filter((held) -> held.run.batch().equals(batch) && !held.owner.equals(owner))
			.toList();
	}

	ResourceAmounts used() {
		return this.used;
	}

	/**
	 * Returns whether the last answered poll listed an active run that is not in this
	 * table.
	 * @return whether it did
	 */
	boolean hasUnknownRun() {
		return this.unknownRun;
	}

	/**
	 * Returns the entries that have runs at the endpoint.
	 * @return the entries
	 */
	Set<EntryId> activeEntries() {
		return this.runs.values().stream().map(HeldRun::entry).collect(Collectors.toSet());
	}

	/**
	 * Returns the number of the newest order of an entry up to which all of its runs are
	 * known to have started or to have ended.
	 * @param entry the entry
	 * @param lastOrder number of the last order that was received from it
	 * @return the number
	 */
	long lastConfirmedOrder(EntryId entry, long lastOrder) {
		return this.runs.values()
			.stream()
			.filter((held) -> held.entry().equals(entry) && !held.isStarted())
			.mapToLong((held) -> held.order() - 1)
			.reduce(lastOrder, Math::min);
	}

	/**
	 * Returns the resources of an entry's runs in a range of its orders.
	 * @param entry the entry
	 * @param after number of the order before the first one
	 * @param last number of the last order
	 * @return the resources
	 */
	ResourceAmounts used(EntryId entry, long after, long last) {
		return this.runs.values()
			.stream()
			.filter((held) -> held.entry().equals(entry) && held.order() > after && held.order() <= last)
			.map((held) -> held.needs)
			.reduce(ResourceAmounts.NONE, ResourceAmounts::plus);
	}

	List<HeldRun> list() {
		return new ArrayList<>(this.runs.values());
	}

	void start(EntryIncarnation owner, StartRun start, LeaseTerms lease, long nowNanos) {
		HeldRun held = new HeldRun(start.run(), owner, start.order(), start.needs(), lease.token(), nowNanos);
		held.setSpec(start.spec());
		this.runs.put(start.run(), held);
		this.used = this.used.plus(start.needs());
		this.orders.start(lease, start.run(), start.spec());
	}

	/**
	 * Repeats the start order of a run that is not active.
	 * @param held the run
	 * @param lease the lease that authorizes the order
	 * @param nowNanos the current time on the monotonic clock
	 */
	void repeatStart(HeldRun held, LeaseTerms lease, long nowNanos) {
		held.repeatStart(lease.token(), nowNanos);
		this.orders.start(lease, held.run, held.spec());
	}

	/**
	 * Returns the runs whose start was not answered and that were not active when the
	 * endpoint refused all start orders for them.
	 * @param poll the last answered poll
	 * @return the runs
	 */
	List<HeldRun> absentStarts(Poll poll) {
		return this.runs.values()
			.stream()
			.filter((held) -> held.state() == HeldRun.State.START_UNCONFIRMED
					&& this.polls.tokenOf(poll) > held.startToken())
			.toList();
	}

	/**
	 * Removes a run that has certainly ended.
	 * @param held the run
	 * @param outcome its outcome
	 * @param proof how the end is known
	 * @param nowNanos the current time on the monotonic clock
	 */
	void end(HeldRun held, RunOutcome outcome, EndProof proof, long nowNanos) {
		held.setEndProof(proof);
		this.notices.onEnded(held, outcome, proof, nowNanos);
		this.runs.remove(held.run);
		this.used = this.used.minus(held.needs);
		this.onEnded.accept(held, outcome);
	}

	/**
	 * Sends a stop order for a run unless the previous one may still be answered.
	 * @param held the run
	 * @param outcome outcome of the run if the order stops it
	 * @param cause why it is stopped
	 * @param nowNanos the current time on the monotonic clock
	 */
	void stop(HeldRun held, RunOutcome outcome, StopCause cause, long nowNanos) {
		this.notices.onStopRequested(held, cause, nowNanos);
		sendStop(held, outcome, nowNanos);
	}

	/**
	 * Repeats a stop order that the endpoint has refused because of its token. Stops are
	 * repeated at most once in 20 ms.
	 * @param held the run
	 * @param nowNanos the current time on the monotonic clock
	 */
	void repeatRefusedStop(HeldRun held, long nowNanos) {
		if (held.state() == HeldRun.State.STOPPING && held.firstConclusivePoll() == Long.MAX_VALUE) {
			held.markStopRefused();
			sendStop(held, held.stopOutcome(), nowNanos);
		}
	}

	private void sendStop(HeldRun held, RunOutcome outcome, long nowNanos) {
		long intervalMillis = held.isStopRefused() ? MIN_STOP_INTERVAL_MILLIS : this.settings.callMillis();
		if (held.state() == HeldRun.State.STOPPING
				&& nowNanos - held.lastOrderNanos() < intervalMillis * NANOS_PER_MILLI) {
			return;
		}
		held.markStopping(outcome, nowNanos);
		LeaseTerms lease = this.terms.get();
		held.setStopToken(lease.token());
		this.notices.onStopSent(held, lease.token(), nowNanos);
		this.orders.stop(lease, held.run);
	}

	/**
	 * Repeats the stop orders that were not answered.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void repeatStops(long nowNanos) {
		for (HeldRun held : list()) {
			if (held.state() == HeldRun.State.STOPPING && held.firstConclusivePoll() == Long.MAX_VALUE) {
				sendStop(held, held.stopOutcome(), nowNanos);
			}
		}
	}

	/**
	 * Ends the runs of the previous incarnation because a new incarnation of the endpoint
	 * has started. A start order without an answer, or one that no poll has shown the
	 * effect of, may reach the new incarnation, so such a run is stopped there instead.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onNewIncarnation(long nowNanos) {
		this.unknownRun = false;
		this.listedEnds.clear();
		for (HeldRun held : list()) {
			if (held.wasListed() && !held.mayStartLate(nowNanos)) {
				end(held, RunOutcome.ENDPOINT_LOST, EndProof.NEW_INCARNATION, nowNanos);
			}
			else {
				this.notices.onStopRequested(held, StopCause.NEW_INCARNATION, nowNanos);
				held.restartStop(held.wasListed() ? RunOutcome.ENDPOINT_LOST : RunOutcome.NOT_STARTED);
			}
		}
	}

	/**
	 * Ends the runs that were active under a lease that has expired. A start order that
	 * was not answered may still be carried out, if not by this incarnation of the
	 * endpoint then by the next one, so such a run is stopped instead.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onLeaseExpired(long nowNanos) {
		for (HeldRun held : list()) {
			if (isLapsed(held, nowNanos)) {
				end(held, RunOutcome.LAPSED, EndProof.LEASE_EXPIRED, nowNanos);
			}
			else {
				stop(held, held.isStarted() ? RunOutcome.LAPSED : RunOutcome.NOT_STARTED, StopCause.START_UNANSWERED,
						nowNanos);
			}
		}
	}

	/**
	 * Returns whether a run ends with the lease.
	 * @param held the run
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether it has started and can't start again
	 */
	static boolean isLapsed(HeldRun held, long nowNanos) {
		return held.isStarted() && !held.mayStartLate(nowNanos);
	}

	/**
	 * Updates the runs from the answer to a poll.
	 * @param poll the poll
	 * @param answer the answer
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether every active run is in this table
	 */
	boolean applyPollAnswer(Poll poll, PollAnswer answer, long nowNanos) {
		for (EndedRun end : answer.ended()) {
			if (this.polls.recordEnd(end.number())) {
				find(end.run()).ifPresentOrElse(
						(held) -> end(held, effectiveOutcome(held, end.outcome()), EndProof.LISTED_END, nowNanos),
						() -> this.notices.onEndNotHeld(end));
				this.orphanStops.remove(end.run());
				recordListedEnd(end.run());
			}
		}
		Map<RunId, ActiveRun> active = new LinkedHashMap<>();
		answer.active().forEach((run) -> active.put(run.run(), run));
		for (HeldRun held : list()) {
			ActiveRun listed = active.remove(held.run);
			if (listed != null) {
				onListed(held, listed, nowNanos);
			}
			else if (poll.number() >= held.firstConclusivePoll()) {
				// The endpoint answered the last order before this poll was sent, so the
				// run would be listed if it were active.
				end(held, (held.state() == HeldRun.State.STOPPING) ? held.stopOutcome() : RunOutcome.ENDPOINT_LOST,
						EndProof.ABSENT, nowNanos);
			}
		}
		// The answers to several polls may overtake each other. One that lists a run as
		// active whose end was listed before is the older one.
		active.keySet().removeAll(this.listedEnds);
		active.keySet().forEach((run) -> stopOrphan(run, nowNanos));
		this.unknownRun = !active.isEmpty();
		return active.isEmpty();
	}

	private void recordListedEnd(RunId run) {
		this.listedEnds.add(run);
		if (this.listedEnds.size() > MAX_LISTED_ENDS) {
			this.listedEnds.remove(this.listedEnds.iterator().next());
		}
	}

	private static RunOutcome effectiveOutcome(HeldRun held, RunOutcome reported) {
		return (reported == RunOutcome.STOPPED) ? held.stopOutcome() : reported;
	}

	private void onListed(HeldRun held, ActiveRun listed, long nowNanos) {
		this.notices.onListed(held, nowNanos);
		held.markListed();
		if (held.state() == HeldRun.State.START_UNCONFIRMED) {
			held.markRunning(this.polls.nextNumber());
		}
		held.updateProgress(listed.percent(), nowNanos);
		if (held.state() == HeldRun.State.RUNNING
				&& nowNanos - held.progressNanos() >= this.settings.stallMillis() * NANOS_PER_MILLI) {
			stop(held, RunOutcome.STALLED, StopCause.STALLED, nowNanos);
		}
	}

	private void stopOrphan(RunId run, long nowNanos) {
		Long lastStopNanos = this.orphanStops.get(run);
		if (lastStopNanos == null || nowNanos - lastStopNanos >= this.settings.callMillis() * NANOS_PER_MILLI) {
			this.orphanStops.put(run, nowNanos);
			LeaseTerms lease = this.terms.get();
			this.notices.onOrphan(run, lease.token());
			this.orders.stop(lease, run);
		}
	}

}
