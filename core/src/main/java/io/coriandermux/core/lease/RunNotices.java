package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Notices about single runs of a guard, from which operators reconstruct the history of a
 * task.
 */
final class RunNotices {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Bounds the length of a notice about many runs. */
	private static final int MAX_LISTED_RUNS = 16;

	/**
	 * Minimum interval between two notices about leases that outlast sessions, because
	 * each poll grants a lease.
	 */
	private static final long OUTLASTS_INTERVAL_NANOS = 1000 * NANOS_PER_MILLI;

	private final LeaseSettings settings;

	private final EntrySessions sessions;

	private final EndpointClock clock;

	private final EndedRunHistory ended;

	private final PollTracker polls;

	private final Consumer<Notice> notices;

	/** The answer that is being processed; null before the first one. */
	private AnsweredPoll answeredPoll;

	private boolean outlastsReported;

	private long outlastsReportedNanos;

	RunNotices(LeaseSettings settings, EntrySessions sessions, EndpointClock clock, EndedRunHistory ended,
			PollTracker polls, Consumer<Notice> notices) {
		this.ended = ended;
		this.polls = polls;
		this.settings = settings;
		this.sessions = sessions;
		this.clock = clock;
		this.notices = notices;
	}

	void onOrdered(EntryId entry, EntrySession session, StartRun start, LeaseTerms lease, long nowNanos) {
		send(NoticeKind.RUN_ORDERED, start.run(),
				"by " + entry + " incarnation " + session.incarnation().value() + ", order " + start.order()
						+ ", token " + lease.token() + ", lease until " + until(lease.expiresAtMillis())
						+ " on the endpoint's clock, session confirmed " + millis(nowNanos - session.confirmedNanos())
						+ " ago");
	}

	void onStartRepeated(HeldRun held, EntrySession session, LeaseTerms lease, long nowNanos) {
		send(NoticeKind.RUN_ORDERED, held.run,
				"by " + held.entry() + " incarnation " + session.incarnation().value() + ", order " + held.order()
						+ " repeated " + millis(nowNanos - held.requestedNanos) + " after the first time, token "
						+ lease.token() + ", lease until " + until(lease.expiresAtMillis())
						+ " on the endpoint's clock, session confirmed " + millis(nowNanos - session.confirmedNanos())
						+ " ago");
	}

	void onStartAnswered(RunId run, OrderResult result, HeldRun held, long nowNanos) {
		send(NoticeKind.START_ANSWERED, run,
				result + " " + ((held != null) ? "after " + millis(nowNanos - held.requestedNanos) + ", " + held.state()
						: "for a run that is not held"));
	}

	void onReordered(RunId run, EntryId entry, String found) {
		send(NoticeKind.RUN_REORDERED, run, "by " + entry + ", " + found);
	}

	void onClaimed(RunId run, EntryIncarnation entry, BatchHolder holder) {
		send(NoticeKind.START_CLAIMED, run,
				"requested by " + entry.entry() + " incarnation " + entry.incarnation().value() + ", batch held by "
						+ holder.claim().entry().entry() + " incarnation "
						+ holder.claim().entry().incarnation().value() + " for " + holder.ageMillis() + " ms");
	}

	/**
	 * Reports a stop unless the run is already being stopped.
	 * @param held the run
	 * @param cause why it is stopped
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onStopRequested(HeldRun held, StopCause cause, long nowNanos) {
		if (held.isStopRequested()) {
			return;
		}
		long confirmedNanos = this.sessions.find(held.entry()).map(EntrySession::confirmedNanos).orElse(nowNanos);
		held.recordStopRequest(confirmedNanos, nowNanos);
		send(NoticeKind.STOP_REQUESTED, held.run,
				cause + ", run of " + held.entry() + " in state " + held.state() + ", ordered "
						+ millis(nowNanos - held.requestedNanos) + " ago, session confirmed "
						+ millis(nowNanos - confirmedNanos) + " ago, lease expires in "
						+ millis(this.clock.grantedUntilNanos() - nowNanos));
	}

	void onStopSent(HeldRun held, long token, long nowNanos) {
		int number = held.countStopOrder();
		String order = "order " + number + ", token " + token + ", " + millis(nowNanos - held.stopRequestedNanos())
				+ " after the request";
		send(NoticeKind.STOP_SENT, held.run, order);
		if (number > 1) {
			send(NoticeKind.STOP_REPEATED, held.run, order);
		}
	}

	void onStopAnswered(RunId run, OrderResult result, HeldRun held, long nowNanos) {
		send(NoticeKind.STOP_ANSWERED, run, result + " " + ((held != null)
				? millis(nowNanos - held.stopRequestedNanos()) + " after the request" : "for a run that is not held"));
	}

	void onEnded(HeldRun held, RunOutcome outcome, EndProof proof, long nowNanos) {
		String end = outcome + " for " + held.entry() + ", " + millis(nowNanos - held.requestedNanos)
				+ " after the order, proof: " + proof;
		send(NoticeKind.RUN_ENDED, held.run, end);
		if (proof == EndProof.LEASE_EXPIRED) {
			send(NoticeKind.RUN_RELEASED, held.run,
					"in state " + held.state() + ", start " + held.startResult() + ", " + end);
		}
		else if (held.isStopRequested()) {
			long stopNanos = nowNanos - held.stopRequestedNanos();
			this.notices.accept(new Notice(NoticeKind.STOP_CONFIRMED, held.run.toString(),
					millis(stopNanos) + " after the request, " + held.stopOrders() + " stop orders, " + end,
					OptionalLong.of(stopNanos)));
		}
	}

	/**
	 * Reports an answer to an entry about a run that this guard does not hold.
	 * @param run the run
	 * @param entry the entry
	 * @param ended the recorded end, empty if this guard has no record of the run
	 * @param settled whether no run of a previous guard can be active
	 */
	void onInactiveRequested(RunId run, EntryId entry, Optional<RunEnded> ended, boolean settled) {
		String answer = settled ? "reported to " : "to be reported when the endpoint has settled to ";
		send(NoticeKind.RUN_NOT_HELD, run, answer + entry + ": "
				+ ended.map((end) -> "recorded end " + end.outcome()).orElse("NOT_STARTED, no record of the run"));
	}

	/**
	 * Reports a run that is active although its start order was not answered in time.
	 * @param held the run
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onListed(HeldRun held, long nowNanos) {
		if (held.isStartOverdue() && held.markFoundActive()) {
			send(NoticeKind.LATE_START_ACTIVE, held.run, "in state " + held.state() + ", ordered by " + held.entry()
					+ " " + millis(nowNanos - held.requestedNanos) + " ago");
		}
	}

	/**
	 * Records the answer to a poll whose runs are reported next.
	 * @param poll the poll
	 * @param answer the answer
	 * @param nowNanos the current time on the monotonic clock
	 */
	void beginPollAnswer(Poll poll, PollAnswer answer, long nowNanos) {
		this.answeredPoll = new AnsweredPoll(poll, answer.clockMillis(), nowNanos);
	}

	void onOrphan(RunId run, long token) {
		send(NoticeKind.ORPHAN_STOPPED, run, "active without an order from this guard, token " + token
				+ describeAnswer() + describeRecordedEnd(run));
	}

	void onEndNotHeld(EndedRun end) {
		send(NoticeKind.END_NOT_HELD, end.run(),
				end.outcome() + ", end number " + end.number() + describeAnswer() + describeRecordedEnd(end.run()));
	}

	// An answer that is older than a later poll may list runs that have ended since.
	private String describeAnswer() {
		Poll poll = this.answeredPoll.poll();
		OptionalLong ageMillis = this.polls.ageMillis(poll, this.answeredPoll.answeredNanos());
		return ", in the answer to poll " + poll.number() + " of " + this.polls.lastNumber() + " sent "
				+ (ageMillis.isPresent() ? ageMillis.getAsLong() + " ms" : "long") + " ago, endpoint's clock "
				+ this.answeredPoll.clockMillis();
	}

	private String describeRecordedEnd(RunId run) {
		return this.ended.findOrdered(run)
			.map((end) -> ", ended here " + millis(this.answeredPoll.answeredNanos() - end.endedNanos()) + " ago as "
					+ end.outcome() + " for " + describe(end.owner()) + ", proof: " + end.proof())
			.orElse(", no record of the run");
	}

	private static String describe(EntryIncarnation entry) {
		return entry.entry() + " incarnation " + entry.incarnation().value();
	}

	void onLeaseEnded(EndpointIncarnation endpoint, List<HeldRun> runs, long nowNanos) {
		this.notices.accept(new Notice(NoticeKind.LEASE_ENDED, String.valueOf(endpoint), runs.size()
				+ " runs, no answer for " + millis(nowNanos - this.clock.answeredNanos()) + ": " + list(runs)));
	}

	/**
	 * Reports runs for which a lease is granted although the session of their entry was
	 * not confirmed, or their stop was requested, for longer than the session timeout.
	 * @param runs all runs at the endpoint
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onLeaseGranted(List<HeldRun> runs, long nowNanos) {
		if (this.outlastsReported && nowNanos - this.outlastsReportedNanos < OUTLASTS_INTERVAL_NANOS) {
			return;
		}
		long timeoutNanos = this.settings.sessionMillis() * NANOS_PER_MILLI;
		List<HeldRun> outlasting = runs.stream()
			.filter((held) -> nowNanos - confirmedNanos(held, nowNanos) > timeoutNanos)
			.toList();
		if (outlasting.isEmpty()) {
			return;
		}
		this.outlastsReported = true;
		this.outlastsReportedNanos = nowNanos;
		HeldRun oldest = outlasting.get(0);
		send(NoticeKind.LEASE_OUTLASTS_SESSION, oldest.run,
				"the lease is granted for " + this.settings.leaseMillis() + " ms, "
						+ millis(nowNanos - confirmedNanos(oldest, nowNanos)) + " after the last confirmation of "
						+ oldest.entry() + ", " + outlasting.size() + " such runs: " + list(outlasting));
	}

	// For a run that is being stopped, the last confirmation before the stop counts.
	// Later
	// ones do not concern the run.
	private long confirmedNanos(HeldRun held, long nowNanos) {
		return held.isStopRequested() ? held.confirmedBeforeStopNanos()
				: this.sessions.find(held.entry()).map(EntrySession::confirmedNanos).orElse(nowNanos);
	}

	private static String list(List<HeldRun> runs) {
		String listed = runs.stream()
			.limit(MAX_LISTED_RUNS)
			.map((held) -> held.run + " " + held.state())
			.collect(Collectors.joining(", "));
		return (runs.size() > MAX_LISTED_RUNS) ? listed + ", and " + (runs.size() - MAX_LISTED_RUNS) + " more" : listed;
	}

	private static String until(OptionalLong millis) {
		return millis.isPresent() ? String.valueOf(millis.getAsLong()) : "unknown";
	}

	private static String millis(long nanos) {
		return nanos / NANOS_PER_MILLI + " ms";
	}

	private void send(NoticeKind kind, RunId run, String detail) {
		this.notices.accept(new Notice(kind, run.toString(), detail));
	}

	/**
	 * An answer to a poll.
	 *
	 * @param poll the poll
	 * @param clockMillis the endpoint's clock in milliseconds
	 * @param answeredNanos time of the answer on the monotonic clock
	 */
	private record AnsweredPoll(Poll poll, long clockMillis, long answeredNanos) {

	}

}
