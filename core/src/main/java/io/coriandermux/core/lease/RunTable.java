package io.coriandermux.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * The runs that hold resources of an endpoint, each from the order to start it to its
 * certain end.
 */
final class RunTable {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final LeaseSettings settings;

	private final EndpointOrders orders;

	private final Supplier<LeaseTerms> terms;

	private final PollPlan polls;

	private final BiConsumer<HeldRun, RunOutcome> ended;

	private final Consumer<Notice> notices;

	private final Map<RunId, HeldRun> runs = new LinkedHashMap<>();

	private final Map<RunId, Long> orphans = new LinkedHashMap<>();

	private Amounts used = Amounts.NONE;

	/**
	 * Creates an empty table.
	 * @param settings the times
	 * @param orders carries orders to the endpoint
	 * @param terms gives the terms of an order that does not renew the lease
	 * @param polls the polls
	 * @param ended called when a run has certainly ended
	 * @param notices receives notices for operators
	 */
	RunTable(LeaseSettings settings, EndpointOrders orders, Supplier<LeaseTerms> terms, PollPlan polls,
			BiConsumer<HeldRun, RunOutcome> ended, Consumer<Notice> notices) {
		this.settings = settings;
		this.orders = orders;
		this.terms = terms;
		this.polls = polls;
		this.ended = ended;
		this.notices = notices;
	}

	int size() {
		return this.runs.size();
	}

	boolean isEmpty() {
		return this.runs.isEmpty();
	}

	boolean contains(RunId run) {
		return this.runs.containsKey(run);
	}

	Optional<HeldRun> of(RunId run) {
		return Optional.ofNullable(this.runs.get(run));
	}

	Amounts used() {
		return this.used;
	}

	/**
	 * Returns the entries that have runs here.
	 * @return the entries
	 */
	Set<EntryId> entries() {
		return this.runs.values().stream().map(HeldRun::entry).collect(Collectors.toSet());
	}

	List<HeldRun> all() {
		return new ArrayList<>(this.runs.values());
	}

	void start(EntryId entry, StartRun start, LeaseTerms lease, long nowNanos) {
		this.runs.put(start.run(), new HeldRun(start.run(), entry, start.needs(), nowNanos));
		this.used = this.used.plus(start.needs());
		this.orders.start(lease, start.run(), start.spec());
	}

	void end(HeldRun held, RunOutcome outcome) {
		this.runs.remove(held.run);
		this.used = this.used.minus(held.needs);
		this.ended.accept(held, outcome);
	}

	/**
	 * Orders to stop a run unless that was ordered just now.
	 * @param held the run
	 * @param reason outcome of the run if it is stopped
	 * @param nowNanos the current time on the monotonic clock
	 */
	void stop(HeldRun held, RunOutcome reason, long nowNanos) {
		if (held.state() == HeldRun.State.STOPPING
				&& nowNanos - held.orderedNanos() < this.settings.callMillis() * NANOS_PER_MILLI) {
			return;
		}
		held.stopping(reason, nowNanos);
		this.orders.stop(this.terms.get(), held.run);
	}

	/**
	 * Repeats the orders to stop that were not answered.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void repeatStops(long nowNanos) {
		for (HeldRun held : all()) {
			if (held.state() == HeldRun.State.STOPPING && held.confirmedByPoll() == Long.MAX_VALUE) {
				stop(held, held.stopReason(), nowNanos);
			}
		}
	}

	/**
	 * Ends all runs because a new life of the endpoint has begun. An order that was not
	 * answered may have reached the new life and is settled there.
	 */
	void loseAll() {
		for (HeldRun held : all()) {
			if (held.state() == HeldRun.State.ASKED || held.state() == HeldRun.State.UNKNOWN) {
				held.stopping(RunOutcome.NOT_STARTED, 0);
			}
			else {
				end(held, RunOutcome.ENDPOINT_LOST);
			}
		}
	}

	/**
	 * Takes what an endpoint says of its runs.
	 * @param poll the poll
	 * @param answer the answer
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether nothing runs that this guard did not start
	 */
	boolean take(Poll poll, PollAnswer answer, long nowNanos) {
		for (EndedRun end : answer.ended()) {
			if (this.polls.see(end.number())) {
				of(end.run()).ifPresent((held) -> end(held, outcome(held, end.outcome())));
				this.orphans.remove(end.run());
			}
		}
		Map<RunId, ActiveRun> active = new LinkedHashMap<>();
		answer.active().forEach((run) -> active.put(run.run(), run));
		for (HeldRun held : all()) {
			ActiveRun shown = active.remove(held.run);
			if (shown != null) {
				shown(held, shown, nowNanos);
			}
			else if (poll.number() >= held.confirmedByPoll()) {
				// The endpoint answered the order before it was asked, so the run would
				// be listed if it existed.
				end(held, (held.state() == HeldRun.State.STOPPING) ? held.stopReason() : RunOutcome.ENDPOINT_LOST);
			}
			else if (held.state() == HeldRun.State.UNKNOWN) {
				stop(held, RunOutcome.NOT_STARTED, nowNanos);
			}
		}
		active.keySet().forEach((run) -> stopOrphan(run, nowNanos));
		return active.isEmpty();
	}

	private static RunOutcome outcome(HeldRun held, RunOutcome listed) {
		return (listed == RunOutcome.STOPPED) ? held.stopReason() : listed;
	}

	private void shown(HeldRun held, ActiveRun shown, long nowNanos) {
		if (held.state() == HeldRun.State.UNKNOWN) {
			held.started(this.polls.next());
		}
		held.progress(shown.percent(), nowNanos);
		if (held.state() == HeldRun.State.RUNNING
				&& nowNanos - held.progressNanos() >= this.settings.stallMillis() * NANOS_PER_MILLI) {
			stop(held, RunOutcome.STALLED, nowNanos);
		}
	}

	private void stopOrphan(RunId run, long nowNanos) {
		Long last = this.orphans.get(run);
		if (last == null || nowNanos - last >= this.settings.callMillis() * NANOS_PER_MILLI) {
			this.orphans.put(run, nowNanos);
			this.notices.accept(
					new Notice(NoticeKind.ORPHAN_STOPPED, run.toString(), "it runs without an order of this guard"));
			this.orders.stop(this.terms.get(), run);
		}
	}

}
