package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Decisions of a guard whose endpoint runs tasks under a lease. It is the only holder of
 * that lease. An entry hears that a run has ended only when the run can neither run nor
 * start any more, so the entry may start the task again elsewhere.
 */
public final class LeaseNode {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** A fencing token that the endpoint refuses is raised by a minute. */
	private static final long TOKEN_STEP = 60_000;

	/** Only the entry whose run started or ended hears of it at once; others later. */
	private static final long LEAST_INFORM_NANOS = 10 * NANOS_PER_MILLI;

	/**
	 * Loads that are sent each second to entries that did not ask, over all entries.
	 * Without this bound the loads that an entry receives grow with the number of guards,
	 * and those of the system with the product of entries and guards: at 15 entries and
	 * 80 guards they were more than the messages of all runs.
	 */
	private static final long LOADS_PER_SECOND = 64;

	private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

	private final LeaseSettings settings;

	private final EndpointOrders orders;

	private final EntryChannel entries;

	private final Consumer<Notice> notices;

	private final RunTable runs;

	private final EntrySessions sessions;

	private final RunReports reports;

	private final PollPlan polls = new PollPlan();

	private final SuspensionWatch suspension;

	private final EndpointClock clock = new EndpointClock();

	/** The life that orders are meant for; null while none is known. */
	private EndpointLife life;

	/** What that life has last said of itself; null until it has spoken. */
	private EndpointReport report;

	private boolean settled;

	private boolean gone;

	/** No connection to the endpoint could be opened; cleared when it answers. */
	private boolean unreachable;

	private boolean shuttingDown;

	private long token;

	private long informedNanos;

	private long nowNanos;

	/**
	 * Creates the decisions of a guard whose endpoint has not reported yet.
	 * @param settings the times
	 * @param token fencing token of this guard, higher than that of its predecessor
	 * @param orders carries orders to the endpoint
	 * @param entries sends messages to entries
	 * @param notices receives notices for operators
	 */
	public LeaseNode(LeaseSettings settings, long token, EndpointOrders orders, EntryChannel entries,
			Consumer<Notice> notices) {
		this.settings = settings;
		this.token = token;
		this.orders = orders;
		this.entries = entries;
		this.notices = notices;
		this.sessions = new EntrySessions(settings, entries);
		this.reports = new RunReports(entries);
		this.suspension = new SuspensionWatch(settings.callMillis());
		this.runs = new RunTable(settings, orders, () -> terms(OptionalLong.empty()), this.polls, this::ended, notices);
	}

	/**
	 * Takes a heartbeat of the endpoint.
	 * @param heartbeat what the endpoint says of itself
	 * @param now the current time
	 */
	public void reported(EndpointReport heartbeat, Moment now) {
		this.nowNanos = now.nanos();
		if (isOlder(heartbeat)) {
			notice(NoticeKind.ENDPOINT_REPORT_IGNORED, heartbeat.life().toString(),
					"sequence " + heartbeat.sequence() + ", a newer one is known of " + this.life);
			return;
		}
		EndpointReport former = this.report;
		boolean back = this.gone;
		this.gone = false;
		this.report = heartbeat;
		if (!heartbeat.life().equals(this.life)) {
			begin(heartbeat.life(), now);
		}
		else if (former == null || former.draining() != heartbeat.draining()) {
			notice(NoticeKind.ENDPOINT_DRAINS, heartbeat.life().toString(),
					"draining " + heartbeat.draining() + ", " + this.runs.size() + " runs");
		}
		else if (!back && former.capacity().equals(heartbeat.capacity()) && former.pool().equals(heartbeat.pool())) {
			return;
		}
		inform(true, now);
	}

	/**
	 * Takes what an earlier incarnation of this guard has last heard of its endpoint. It
	 * is used if the same life of the endpoint still answers.
	 * @param former what the endpoint said of itself
	 * @param now the current time
	 */
	public void remembered(EndpointReport former, Moment now) {
		this.nowNanos = now.nanos();
		if (this.life == null) {
			this.report = former;
			begin(former.life(), now);
		}
	}

	/**
	 * Returns what the endpoint has last said of itself.
	 * @return the report, empty if it has not spoken
	 */
	public Optional<EndpointReport> report() {
		return Optional.ofNullable(this.report);
	}

	private boolean isOlder(EndpointReport heartbeat) {
		if (this.life == null) {
			return false;
		}
		if (heartbeat.life().bornMillis() != this.life.bornMillis()) {
			return heartbeat.life().bornMillis() < this.life.bornMillis();
		}
		return this.report != null && heartbeat.life().equals(this.life)
				&& heartbeat.sequence() < this.report.sequence();
	}

	/**
	 * Takes note that the endpoint has left.
	 * @param endpointId id of the endpoint
	 * @param now the current time
	 */
	public void left(String endpointId, Moment now) {
		this.nowNanos = now.nanos();
		if (this.life != null && this.life.id().equals(endpointId)) {
			notice(NoticeKind.ENDPOINT_LEFT, this.life.toString(), this.runs.size() + " runs");
			this.gone = true;
			inform(true, now);
		}
	}

	/**
	 * Takes the answer to an order to start.
	 * @param run the run
	 * @param result what became of the order
	 * @param clockMillis the endpoint's clock, empty if it did not answer
	 * @param now the current time
	 */
	public void startAnswered(RunId run, OrderResult result, OptionalLong clockMillis, Moment now) {
		this.nowNanos = now.nanos();
		read(clockMillis, now);
		Optional<HeldRun> found = this.runs.of(run).filter((held) -> held.state() == HeldRun.State.ASKED);
		if (found.isEmpty()) {
			return;
		}
		HeldRun held = found.get();
		held.startResult(result);
		switch (result) {
			case ACCEPTED -> {
				held.started(this.polls.next());
				poll(now, this.settings.pollMillis(), false);
			}
			case UNANSWERED -> {
				held.unanswered();
				notice(NoticeKind.ORDER_UNANSWERED, run.toString(),
						"start, after " + (now.nanos() - held.askedNanos) / NANOS_PER_MILLI + " ms");
				poll(now, 0, true);
			}
			case NO_ROOM -> this.runs.end(held, RunOutcome.NO_ROOM);
			case UNHEALTHY -> this.runs.end(held, RunOutcome.UNHEALTHY);
			case INVALID -> this.runs.end(held, RunOutcome.INVALID);
			case SUPERSEDED -> this.runs.end(held, RunOutcome.SUPERSEDED);
			case FENCED -> {
				raiseToken();
				this.runs.end(held, RunOutcome.NOT_STARTED);
			}
			case NOT_SENT -> {
				this.unreachable = true;
				this.runs.end(held, RunOutcome.NOT_STARTED);
				inform(true, now);
			}
			default -> this.runs.end(held, RunOutcome.NOT_STARTED);
		}
	}

	/**
	 * Takes the answer to an order to stop.
	 * @param run the run
	 * @param result what became of the order
	 * @param clockMillis the endpoint's clock, empty if it did not answer
	 * @param now the current time
	 */
	public void stopAnswered(RunId run, OrderResult result, OptionalLong clockMillis, Moment now) {
		this.nowNanos = now.nanos();
		read(clockMillis, now);
		if (result == OrderResult.FENCED) {
			raiseToken();
		}
		Optional<HeldRun> held = this.runs.of(run);
		if (held.isPresent() && result == OrderResult.ACCEPTED) {
			held.get().stopConfirmed(this.polls.next());
			poll(now, 0, true);
		}
	}

	/**
	 * Takes the answer to a poll.
	 * @param poll the poll
	 * @param result what became of it
	 * @param answer the answer, empty if there was none
	 * @param now the current time
	 */
	public void pollAnswered(Poll poll, OrderResult result, Optional<PollAnswer> answer, Moment now) {
		this.nowNanos = now.nanos();
		this.polls.answered(poll);
		if (result == OrderResult.FENCED) {
			raiseToken();
		}
		if (result == OrderResult.OTHER_LIFE && !this.settled) {
			// A remembered life is over; the next heartbeat tells the new one.
			this.report = null;
			return;
		}
		if (answer.isEmpty() || this.life == null) {
			return;
		}
		long born = answer.get().bornMillis();
		if (born != this.life.bornMillis()) {
			if (born > this.life.bornMillis()) {
				// The new life may be of another kind; it is not used until it reports.
				this.report = null;
				begin(new EndpointLife(this.life.id(), born), now);
			}
			return;
		}
		this.clock.read(answer.get().clockMillis(), now.nanos());
		this.polls.acknowledged(poll);
		if (this.unreachable) {
			this.unreachable = false;
			inform(true, now);
		}
		boolean clear = this.runs.take(poll, answer.get(), now.nanos());
		if (!this.settled && clear) {
			this.settled = true;
			notice(NoticeKind.ENDPOINT_SETTLED, this.life.toString(),
					"nothing runs that this guard did not start, token " + this.token);
			this.reports.settled();
			inform(true, now);
		}
		if (isPollNeeded()) {
			poll(now, this.settings.pollMillis(), false);
		}
	}

	/**
	 * Takes note of a link to an entry.
	 * @param entry the entry
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void entryUp(EntryId entry, Incarnation incarnation, Moment now) {
		this.sessions.of(entry)
			.filter((former) -> !former.incarnation().equals(incarnation))
			.ifPresent((former) -> entryLost(entry, former.incarnation(), now));
		EntrySession session = this.sessions.open(entry, incarnation, now.nanos());
		if (this.settled) {
			inform(entry, session);
		}
	}

	/**
	 * Takes note that an entry is gone; its runs are stopped.
	 * @param entry the entry
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void entryLost(EntryId entry, Incarnation incarnation, Moment now) {
		if (this.sessions.of(entry, incarnation).isEmpty()) {
			return;
		}
		this.sessions.close(entry);
		stopAll(entry, "the entry is gone", now);
	}

	/**
	 * Takes a message of an entry.
	 * @param entry the sender
	 * @param incarnation its incarnation
	 * @param message the message
	 * @param now the current time
	 */
	public void message(EntryId entry, Incarnation incarnation, Message message, Moment now) {
		this.nowNanos = now.nanos();
		Optional<EntrySession> session = this.sessions.of(entry, incarnation);
		if (session.isEmpty()) {
			return;
		}
		checkClocks(now);
		checkSessions(now);
		if (message instanceof StartRun start) {
			start(entry, session.get(), start, now);
		}
		else if (message instanceof StopRun stop) {
			this.runs.of(stop.run())
				.ifPresentOrElse((held) -> this.runs.stop(held, RunOutcome.STOPPED, now.nanos()),
						() -> this.reports.answer(entry, stop.run(), this.settled));
		}
		else if (message instanceof HeldRuns held) {
			reconcile(entry, held.runs(), now);
		}
		else if (message instanceof SessionPong pong) {
			session.get().confirmed(pong.clockNanos());
		}
	}

	private void start(EntryId entry, EntrySession session, StartRun start, Moment now) {
		session.ordered(start.order());
		session.informed(false);
		Optional<HeldRun> held = this.runs.of(start.run());
		if (held.isPresent()) {
			// A caller has handed its batch in again at another entry.
			held.get().passTo(entry);
			return;
		}
		if (this.reports.isEnded(start.run())) {
			this.reports.answer(entry, start.run(), this.settled);
			return;
		}
		if (!isAccepting() || session.expired() || !this.clock.known()) {
			refuse(entry, session, start.run(), RunOutcome.NOT_STARTED);
			return;
		}
		if (!free().fits(start.needs())) {
			refuse(entry, session, start.run(), RunOutcome.NO_ROOM);
			return;
		}
		LeaseTerms lease = terms(this.clock.leaseUntil(this.settings.leaseMillis(), now.nanos()));
		this.runs.start(entry, start, lease, now.nanos());
		this.sessions.changed();
	}

	private void refuse(EntryId entry, EntrySession session, RunId run, RunOutcome reason) {
		notice(NoticeKind.RUN_REFUSED, run.toString(), reason + ", asked for by " + entry + ", free " + free()
				+ ", settled " + this.settled + ", session expired " + session.expired());
		this.reports.ended(entry, run, reason, 0);
		inform(entry, session);
	}

	private void reconcile(EntryId entry, List<RunId> wanted, Moment now) {
		this.runs.all()
			.stream()
			.filter((held) -> held.entry().equals(entry) && !wanted.contains(held.run))
			.forEach((held) -> this.runs.stop(held, RunOutcome.STOPPED, now.nanos()));
		wanted.stream()
			.filter((run) -> !this.runs.contains(run))
			.forEach((run) -> this.reports.answer(entry, run, this.settled));
	}

	/**
	 * Lets time pass; to be called about every 20 ms, less often without work.
	 * @param now the current time
	 */
	public void tick(Moment now) {
		this.nowNanos = now.nanos();
		checkClocks(now);
		checkSessions(now);
		boolean pinged = this.sessions.pingIfDue(this.runs.entries(), now.nanos());
		long callNanos = this.settings.callMillis() * NANOS_PER_MILLI;
		this.runs.repeatStops(now.nanos());
		if (!this.runs.isEmpty() && this.clock.isLapsed(now.nanos())) {
			notice(NoticeKind.LEASE_ENDED, String.valueOf(this.life), this.runs.size() + " runs, no answer for "
					+ (now.nanos() - this.clock.readNanos()) / NANOS_PER_MILLI + " ms");
			this.runs.all().forEach((held) -> this.runs.end(held, RunOutcome.LAPSED));
		}
		boolean overdue = now.nanos() - this.polls
			.askedNanos() >= (this.settings.pollMillis() + this.settings.callMillis()) * NANOS_PER_MILLI;
		if (isPollNeeded() && (!this.polls.isWaiting() || overdue)
				&& now.nanos() - this.polls.askedNanos() >= callNanos / 2) {
			poll(now, this.settled ? this.settings.pollMillis() : 0, true);
		}
		// A load that leaves with a ping costs the entry no wake-up of its own.
		if (pinged || now.nanos() - this.informedNanos >= informNanos()) {
			inform(false, now);
		}
	}

	private long informNanos() {
		return Math.max(LEAST_INFORM_NANOS, this.sessions.size() * NANOS_PER_SECOND / LOADS_PER_SECOND);
	}

	/**
	 * Takes no new runs from now on.
	 * @param now the current time
	 */
	public void shutDown(Moment now) {
		this.shuttingDown = true;
		inform(true, now);
	}

	/**
	 * Returns whether no run holds resources.
	 * @return whether the guard may end without harm
	 */
	public boolean isIdle() {
		return this.runs.isEmpty();
	}

	/**
	 * Returns the state for operators.
	 * @return the state
	 */
	public LeaseStatus status() {
		return new LeaseStatus((this.life != null) ? this.life.toString() : "", this.settled, isAccepting(),
				this.runs.size(), this.sessions.size(), this.token);
	}

	private void begin(EndpointLife newLife, Moment now) {
		this.life = newLife;
		notice(NoticeKind.ENDPOINT_BEGAN, newLife.toString(),
				((this.report != null) ? "capacity " + this.report.capacity() : "not reported yet") + ", "
						+ this.runs.size() + " runs of its former life");
		this.unreachable = false;
		this.clock.reset();
		this.polls.reset();
		this.settled = false;
		this.runs.loseAll();
		poll(now, 0, true);
	}

	private boolean isPollNeeded() {
		if (this.life == null || (this.gone && this.runs.isEmpty())) {
			return false;
		}
		return !this.runs.isEmpty() || !this.settled || this.unreachable || this.polls.isEndUnacknowledged();
	}

	// One poll waits for ends at any time; another one is asked beside it only where an
	// order has to be settled.
	private void poll(Moment now, long waitMillis, boolean beside) {
		if (this.life == null || (!beside && this.polls.isWaiting())) {
			return;
		}
		// An endpoint that does not answer may still receive the polls. They must not
		// renew its lease, or its runs would never be known to have ended.
		boolean silent = now.nanos()
				- this.clock.readNanos() >= (this.settings.pollMillis() + this.settings.callMillis()) * NANOS_PER_MILLI;
		OptionalLong until = silent ? OptionalLong.empty()
				: this.clock.leaseUntil(this.settings.leaseMillis(), now.nanos());
		this.orders.poll(terms(until), this.polls.ask(waitMillis, now.nanos()));
	}

	private void stopAll(EntryId entry, String reason, Moment now) {
		List<HeldRun> own = this.runs.all().stream().filter((held) -> held.entry().equals(entry)).toList();
		if (!own.isEmpty()) {
			notice(NoticeKind.SESSION_ENDED, entry.value(), own.size() + " runs stopped: " + reason);
		}
		own.forEach((held) -> this.runs.stop(held, RunOutcome.STOPPED, now.nanos()));
	}

	private void ended(HeldRun held, RunOutcome outcome) {
		long runMillis = (this.nowNanos - held.askedNanos) / NANOS_PER_MILLI;
		this.reports.ended(held.entry(), held.run, outcome, runMillis);
		held.formerEntries().forEach((former) -> this.reports.answer(former, held.run, true));
		if (outcome != RunOutcome.DONE) {
			notice(NoticeKind.RUN_NOT_DONE, held.run.toString(), outcome + " after " + runMillis + " ms, asked for by "
					+ held.entry() + ", start " + held.startResult() + ", free " + free());
		}
		this.sessions.changed();
		this.sessions.of(held.entry()).ifPresent((session) -> inform(held.entry(), session));
	}

	private void raiseToken() {
		this.token += TOKEN_STEP;
		notice(NoticeKind.TOKEN_RAISED, String.valueOf(this.life), "to " + this.token);
	}

	private void read(OptionalLong clockMillis, Moment now) {
		this.nowNanos = now.nanos();
		clockMillis.ifPresent((millis) -> this.clock.read(millis, now.nanos()));
	}

	private LeaseTerms terms(OptionalLong until) {
		return new LeaseTerms(this.life.id(), this.token, until);
	}

	private boolean isAccepting() {
		return this.report != null && this.settled && !this.gone && !this.unreachable && !this.report.draining()
				&& !this.shuttingDown;
	}

	private Amounts free() {
		return (this.report != null) ? this.report.capacity().minus(this.runs.used()) : Amounts.NONE;
	}

	private void inform(boolean anew, Moment now) {
		this.informedNanos = now.nanos();
		if (this.report == null) {
			return;
		}
		this.sessions.forEach((entry, session) -> {
			if (anew || !session.informed()) {
				inform(entry, session);
			}
		});
	}

	private void inform(EntryId entry, EntrySession session) {
		if (this.report == null) {
			return;
		}
		session.informed(true);
		EndpointLoad load = new EndpointLoad(this.report.pool(), this.report.labels(), this.report.capacity(), free(),
				isAccepting());
		this.entries.send(entry, new EndpointChanged(load, session.order()));
	}

	private void checkSessions(Moment now) {
		this.sessions.expire(now.nanos()).forEach((entry) -> stopAll(entry, "it has not confirmed its session", now));
	}

	// The entries may have given up on the runs here while this VM was suspended.
	private void checkClocks(Moment now) {
		long jumpMillis = this.suspension.jumpMillis(now);
		if (jumpMillis > 0) {
			notice(NoticeKind.CLOCK_JUMPED, "wall clock", jumpMillis + " ms ahead");
			this.sessions.doubt(now.nanos());
		}
	}

	private void notice(NoticeKind kind, String subject, String detail) {
		this.notices.accept(new Notice(kind, subject, detail));
	}

}
