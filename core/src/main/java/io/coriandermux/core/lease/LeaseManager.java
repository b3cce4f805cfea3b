package io.coriandermux.core.lease;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * State machine of a guard whose endpoint runs tasks under a lease. Only this guard
 * grants the lease. The end of a run is reported to an entry only when the run is not
 * active and can no longer start, so the entry may safely start the task elsewhere.
 */
public final class LeaseManager {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Minimum interval between two periodic rounds of load messages to the entries. When
	 * a run ends or is refused, its entry receives the load immediately.
	 */
	private static final long MIN_LOAD_INTERVAL_NANOS = 10 * NANOS_PER_MILLI;

	/**
	 * Limit of the periodic load messages per second, over all entries, in addition to
	 * those sent together with a ping. Without it, the load messages that an entry
	 * receives grow with the number of guards, and those of the system with the product
	 * of entries and guards: with 15 entries and 80 guards they outnumbered the messages
	 * of all runs.
	 */
	private static final long MAX_LOADS_PER_SECOND = 64;

	private static final long NANOS_PER_SECOND = 1000 * NANOS_PER_MILLI;

	private final LeaseSettings settings;

	private final EndpointOrders orders;

	private final EntryChannel entries;

	private final Consumer<Notice> notices;

	private final RunNotices runNotices;

	private final RunTable runs;

	private final EntrySessions sessions;

	private final RunEndReporter runEndReporter;

	private final PollTracker polls = new PollTracker();

	private final AnswerTimeout startTimeout;

	private final SuspensionDetector suspensionDetector;

	private final EndpointClock clock = new EndpointClock();

	private final LeaseGranter leases;

	private final BatchClaims claims;

	private final EndpointSilence silence;

	/** The incarnation that orders are addressed to; null while none is known. */
	private EndpointIncarnation endpointIncarnation;

	/** Whether that incarnation has answered a poll that was addressed to it. */
	private boolean confirmed;

	/** Number of the first poll that was sent to that incarnation. */
	private long firstPoll;

	/** The last report of that incarnation; null until it has reported. */
	private EndpointReport report;

	/**
	 * The report of a later incarnation that has not answered a poll yet; null if there
	 * is none.
	 */
	private EndpointReport announcement;

	/** Number of the first poll that was sent to find out about the announcement. */
	private long announcementPoll;

	/** Whether all runs of previous guards at the endpoint are known to have ended. */
	private boolean settled;

	private boolean deregistered;

	/** Number of the first poll that was sent after the deregistration. */
	private long deregistrationPoll;

	/** Whether no connection to the endpoint could be opened; cleared when it answers. */
	private boolean unreachable;

	private boolean shuttingDown;

	private final FencingToken token;

	private long lastLoadNanos;

	private long nowNanos;

	/**
	 * Creates the state machine of a guard whose endpoint has not reported yet.
	 * @param settings timeouts and intervals
	 * @param token fencing token of this guard, higher than that of the previous guard
	 * @param orders sends orders to the endpoint
	 * @param entries sends messages to entries
	 * @param notices receives notices for operators
	 */
	public LeaseManager(LeaseSettings settings, long token, EndpointOrders orders, EntryChannel entries,
			Consumer<Notice> notices) {
		this.settings = settings;
		this.token = new FencingToken(token,
				(detail) -> sendNotice(NoticeKind.TOKEN_RAISED, String.valueOf(this.endpointIncarnation), detail));
		this.orders = orders;
		this.entries = entries;
		this.notices = notices;
		this.startTimeout = new AnswerTimeout(settings.callMillis());
		this.sessions = new EntrySessions(settings, entries);
		this.suspensionDetector = new SuspensionDetector(settings.callMillis());
		EndedRunHistory endedRuns = new EndedRunHistory();
		this.runNotices = new RunNotices(settings, this.sessions, this.clock, endedRuns, this.polls, notices);
		this.runEndReporter = new RunEndReporter(entries, this.sessions, endedRuns, this.runNotices);
		this.silence = new EndpointSilence(notices);
		this.runs = new RunTable(settings, orders, () -> terms(OptionalLong.empty()), this.polls, this::onRunEnded,
				this.runNotices);
		this.leases = new LeaseGranter(settings, this.clock, this.runs, this.sessions);
		this.claims = new BatchClaims(this.runs, entries, () -> this.settled, notices);
	}

	/**
	 * Processes a heartbeat. It may come from another writer, so a heartbeat of a later
	 * incarnation alone does not prove that the known one and its runs have ended.
	 * @param heartbeat the contents of the heartbeat
	 * @param now the current time
	 */
	public void onHeartbeat(EndpointReport heartbeat, Moment now) {
		this.nowNanos = now.nanos();
		if (isStale(heartbeat)) {
			sendNotice(NoticeKind.ENDPOINT_REPORT_IGNORED, heartbeat.incarnation().toString(),
					"stale heartbeat with sequence " + heartbeat.sequence() + ", current incarnation "
							+ this.endpointIncarnation);
			return;
		}
		if (this.confirmed && !heartbeat.incarnation().equals(this.endpointIncarnation)) {
			onIncarnationAnnounced(heartbeat, now);
			return;
		}
		EndpointReport previous = this.report;
		boolean wasDeregistered = this.deregistered;
		this.deregistered = false;
		this.report = heartbeat;
		if (!heartbeat.incarnation().equals(this.endpointIncarnation)) {
			startIncarnation(heartbeat.incarnation(), now);
		}
		else if (previous == null || previous.draining() != heartbeat.draining()) {
			sendNotice(NoticeKind.ENDPOINT_DRAINS, heartbeat.incarnation().toString(),
					"draining " + heartbeat.draining() + ", " + this.runs.size() + " runs");
		}
		else if (!wasDeregistered && previous.capacity().equals(heartbeat.capacity())
				&& previous.pool().equals(heartbeat.pool())) {
			return;
		}
		sendLoads(true, now);
	}

	/**
	 * Restores the last report that a previous incarnation of this guard received from
	 * its endpoint. The report is used only if the same incarnation of the endpoint still
	 * answers.
	 * @param storedReport the report
	 * @param now the current time
	 */
	public void restoreReport(EndpointReport storedReport, Moment now) {
		this.nowNanos = now.nanos();
		if (this.endpointIncarnation == null) {
			this.report = storedReport;
			startIncarnation(storedReport.incarnation(), now);
		}
	}

	/**
	 * Returns the last report of the endpoint.
	 * @return the report, empty if there is none of the current incarnation
	 */
	public Optional<EndpointReport> lastReport() {
		return Optional.ofNullable(this.report);
	}

	/**
	 * Returns the last report of the endpoint if it is certain to be one.
	 * @return the report, empty if the incarnation that it names has not answered
	 */
	public Optional<EndpointReport> confirmedReport() {
		return lastReport().filter((last) -> this.confirmed);
	}

	private boolean isStale(EndpointReport heartbeat) {
		if (this.endpointIncarnation == null) {
			return false;
		}
		if (heartbeat.incarnation().equals(this.endpointIncarnation)) {
			return this.report != null && heartbeat.sequence() < this.report.sequence();
		}
		return heartbeat.incarnation().startedAtMillis() <= this.endpointIncarnation.startedAtMillis();
	}

	private void onIncarnationAnnounced(EndpointReport heartbeat, Moment now) {
		boolean first = this.announcement == null;
		this.announcement = heartbeat;
		if (first) {
			// If the later incarnation exists, it has seen no token.
			this.token.shutOut(this.token.value(), this.nowNanos);
			this.announcementPoll = this.polls.nextNumber();
			poll(now, 0, true);
		}
	}

	private void onOtherStartAnswered(long startedAtMillis, Moment now) {
		// Without a report of its own, the new incarnation may have another pool or
		// capacity, so it receives no runs until it reports.
		this.report = Optional.ofNullable(this.announcement)
			.filter((announced) -> announced.incarnation().startedAtMillis() == startedAtMillis)
			.orElse(null);
		startIncarnation((this.report != null) ? this.report.incarnation()
				: new EndpointIncarnation(this.endpointIncarnation.id(), startedAtMillis), now);
		sendLoads(true, now);
	}

	private void onKnownIncarnationAnswered(Poll poll, Moment now) {
		this.confirmed = true;
		if (this.announcement != null && poll.number() >= this.announcementPoll) {
			sendNotice(NoticeKind.ENDPOINT_REPORT_IGNORED, this.announcement.incarnation().toString(),
					"incarnation " + this.endpointIncarnation + " has answered since");
			this.announcement = null;
		}
		// A deregistration names an id, which a former incarnation or another writer may
		// have sent as well. An endpoint drains before it deregisters.
		if (this.deregistered && poll.number() >= this.deregistrationPoll && !isDraining()) {
			this.deregistered = false;
			sendLoads(true, now);
		}
	}

	private boolean isDraining() {
		return this.report != null && this.report.draining();
	}

	/**
	 * Records that the endpoint has deregistered.
	 * @param endpointId id of the endpoint
	 * @param now the current time
	 */
	public void onEndpointDeregistered(String endpointId, Moment now) {
		this.nowNanos = now.nanos();
		if (this.endpointIncarnation != null && this.endpointIncarnation.id().equals(endpointId)) {
			sendNotice(NoticeKind.ENDPOINT_LEFT, this.endpointIncarnation.toString(), this.runs.size() + " runs");
			this.deregistered = true;
			this.deregistrationPoll = this.polls.nextNumber();
			sendLoads(true, now);
			if (!isDraining()) {
				poll(now, 0, true);
			}
		}
	}

	/**
	 * Processes the result of a start order.
	 * @param run the run
	 * @param result result of the order
	 * @param clockMillis the endpoint's clock, empty if it did not answer
	 * @param now the current time
	 */
	public void onStartAnswered(RunId run, OrderResult result, OptionalLong clockMillis, Moment now) {
		this.nowNanos = now.nanos();
		this.silence.onResult(result, now.nanos());
		recordAnswer(clockMillis, now);
		Optional<HeldRun> found = this.runs.find(run);
		boolean overdue = found.map((held) -> held.endStartCall(result != OrderResult.UNANSWERED)).orElse(false);
		// Of several orders the first is shut out, so it is known which one was refused.
		found
			.filter((held) -> result != OrderResult.UNANSWERED
					&& (held.startOrders() == 1 || (overdue && result == OrderResult.FENCED)))
			.ifPresent((held) -> this.startTimeout.observe(now.nanos() - held.requestedNanos));
		this.runNotices.onStartAnswered(run, result, found.orElse(null), now.nanos());
		if (result == OrderResult.ACCEPTED) {
			found.ifPresent(HeldRun::markStarted);
		}
		Optional<HeldRun> pending = found.filter((held) -> held.state() == HeldRun.State.START_PENDING
				|| (held.state() == HeldRun.State.START_UNCONFIRMED && result != OrderResult.UNANSWERED));
		if (pending.isEmpty() || (overdue && result == OrderResult.UNANSWERED)) {
			return;
		}
		HeldRun held = pending.get();
		held.setStartResult(result);
		if (held.hasUnansweredStart() && isRefusal(result)) {
			onRepeatedStartRefused(held, result, now);
			return;
		}
		switch (result) {
			case ACCEPTED -> {
				held.markRunning(this.polls.nextNumber());
				poll(now, this.settings.pollMillis(), false);
			}
			case UNANSWERED -> {
				held.markUnconfirmed();
				onUnconfirmed(held);
				poll(now, 0, true);
			}
			case NO_ROOM -> endUnstarted(held, RunOutcome.NO_ROOM, now);
			case UNHEALTHY -> endUnstarted(held, RunOutcome.UNHEALTHY, now);
			case INVALID -> endUnstarted(held, RunOutcome.INVALID, now);
			case SUPERSEDED -> endUnstarted(held, RunOutcome.SUPERSEDED, now);
			case FENCED -> {
				this.token.onRefused(held.startToken());
				endUnstarted(held, RunOutcome.NOT_STARTED, now);
			}
			case NOT_SENT -> {
				this.unreachable = true;
				endUnstarted(held, RunOutcome.NOT_STARTED, now);
				sendLoads(true, now);
			}
			default -> endUnstarted(held, RunOutcome.NOT_STARTED, now);
		}
	}

	private static boolean isRefusal(OrderResult result) {
		return switch (result) {
			// An order of this kind is refused whenever it is carried out.
			case ACCEPTED, UNANSWERED, INVALID -> false;
			default -> true;
		};
	}

	// An earlier order for the run may still be carried out, so a refusal does not prove
	// that the run will not start.
	private void onRepeatedStartRefused(HeldRun held, OrderResult result, Moment now) {
		if (result == OrderResult.SUPERSEDED) {
			held.markRunning(this.polls.nextNumber());
			poll(now, 0, true);
		}
		else if (result == OrderResult.NOT_SENT) {
			this.unreachable = true;
			sendLoads(true, now);
		}
	}

	// The endpoint has received a higher token than that of the unanswered order. Only
	// its next incarnation may still carry the order out, and must not do so while the
	// task runs elsewhere, so the task stays here.
	private void repeatStarts(Poll poll, Moment now) {
		for (HeldRun held : this.runs.absentStarts(poll)) {
			if (!isAccepting()) {
				this.runs.stop(held, RunOutcome.NOT_STARTED, StopCause.START_UNANSWERED, now.nanos());
				continue;
			}
			EntrySession session = this.sessions.find(held.entry()).filter(EntrySession::isUsable).orElse(null);
			OptionalLong until = (session != null) ? this.leases.grantStart(session, now.nanos())
					: OptionalLong.empty();
			if (until.isPresent()) {
				LeaseTerms lease = terms(until);
				this.runNotices.onStartRepeated(held, session, lease, now.nanos());
				this.runs.repeatStart(held, lease, now.nanos());
			}
		}
	}

	private void endUnstarted(HeldRun held, RunOutcome outcome, Moment now) {
		this.runs.end(held, outcome, EndProof.START_ANSWER, now.nanos());
	}

	private void onUnconfirmed(HeldRun held) {
		this.token.shutOut(held.startToken(), this.nowNanos);
		sendNotice(NoticeKind.ORDER_UNANSWERED, held.run.toString(),
				"start, after " + (this.nowNanos - held.startSentNanos()) / NANOS_PER_MILLI + " ms");
	}

	// The state of a run whose start is answered late is clarified by a poll, long before
	// the call itself times out. A task that has to start elsewhere does so in time.
	private void checkPendingStarts(Moment now) {
		long timeoutNanos = this.startTimeout.nanos();
		List<HeldRun> overdue = this.runs.list()
			.stream()
			.filter((held) -> held.state() == HeldRun.State.START_PENDING
					&& now.nanos() - held.startSentNanos() >= timeoutNanos)
			.toList();
		if (!overdue.isEmpty()) {
			overdue.forEach((held) -> {
				held.markOverdue();
				onUnconfirmed(held);
			});
			poll(now, 0, true);
		}
	}

	/**
	 * Processes the result of a stop order.
	 * @param run the run
	 * @param result result of the order
	 * @param clockMillis the endpoint's clock, empty if it did not answer
	 * @param now the current time
	 */
	public void onStopAnswered(RunId run, OrderResult result, OptionalLong clockMillis, Moment now) {
		this.nowNanos = now.nanos();
		this.silence.onResult(result, now.nanos());
		recordAnswer(clockMillis, now);
		Optional<HeldRun> held = this.runs.find(run);
		// The token does not rise for a stop without an answer. Carried out late, it
		// starts
		// and prolongs nothing, and a higher token would make the endpoint refuse the
		// other stops that are on their way.
		if (result == OrderResult.FENCED) {
			held.ifPresent((stopped) -> this.token.onRefused(stopped.stopToken()));
		}
		this.runNotices.onStopAnswered(run, result, held.orElse(null), now.nanos());
		if (held.isPresent() && result == OrderResult.ACCEPTED) {
			held.get().confirmStop(this.polls.nextNumber());
			poll(now, 0, true);
		}
		else if (held.isPresent() && result == OrderResult.NOT_SENT && this.clock.isExpired(now.nanos())
				&& !held.get().mayStartLate(now.nanos())) {
			this.runs.end(held.get(), held.get().stopOutcome(), EndProof.UNREACHABLE, now.nanos());
		}
		else if (held.isPresent() && result == OrderResult.FENCED) {
			this.runs.repeatRefusedStop(held.get(), now.nanos());
		}
	}

	/**
	 * Processes the result of a poll.
	 * @param poll the poll
	 * @param result result of the poll
	 * @param answer the answer, empty if there was none
	 * @param now the current time
	 */
	public void onPollAnswered(Poll poll, OrderResult result, Optional<PollAnswer> answer, Moment now) {
		this.nowNanos = now.nanos();
		this.silence.onResult(result, now.nanos());
		checkForSuspension(now);
		this.polls.onAnswered(poll);
		if (result == OrderResult.FENCED) {
			this.token.onRefused(this.polls.tokenOf(poll));
		}
		else if (result == OrderResult.UNANSWERED && this.polls.isGranting(poll.number())) {
			this.token.shutOut(this.polls.tokenOf(poll), this.nowNanos);
		}
		if (result == OrderResult.OTHER_LIFE && !this.settled && poll.number() >= this.firstPoll) {
			// The next heartbeat identifies the incarnation that has answered.
			this.report = null;
			if (!this.confirmed) {
				this.endpointIncarnation = null;
			}
			return;
		}
		if (answer.isEmpty() || this.endpointIncarnation == null) {
			return;
		}
		long startedAtMillis = answer.get().startedAtMillis();
		if (startedAtMillis != this.endpointIncarnation.startedAtMillis()) {
			// The start of a restored or first report may be wrong.
			if (startedAtMillis > this.endpointIncarnation.startedAtMillis()
					|| (!this.confirmed && poll.number() >= this.firstPoll)) {
				onOtherStartAnswered(startedAtMillis, now);
			}
			return;
		}
		if (poll.number() < this.firstPoll) {
			// It was addressed to another incarnation or to none.
			return;
		}
		onKnownIncarnationAnswered(poll, now);
		this.clock.recordReading(answer.get().clockMillis(), now.nanos());
		this.polls.onEndsAcknowledged(poll);
		if (this.unreachable) {
			this.unreachable = false;
			sendLoads(true, now);
		}
		this.runNotices.beginPollAnswer(poll, answer.get(), now.nanos());
		boolean noOrphans = this.runs.applyPollAnswer(poll, answer.get(), now.nanos());
		if (!this.settled && noOrphans) {
			this.settled = true;
			sendNotice(NoticeKind.ENDPOINT_SETTLED, this.endpointIncarnation.toString(),
					"no run of a previous guard is active, token " + this.token.value());
			this.runEndReporter.onSettled();
			sendLoads(true, now);
		}
		repeatStarts(poll, now);
		this.claims.answerTakeOvers(now.nanos());
		if (needsPoll()) {
			poll(now, this.settings.pollMillis(), false);
		}
	}

	/**
	 * Records that a connection to an entry was established.
	 * @param entry the entry
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void onEntryConnected(EntryId entry, Incarnation incarnation, Moment now) {
		this.sessions.find(entry)
			.filter((previous) -> !previous.incarnation().equals(incarnation))
			.ifPresent((previous) -> onEntryLost(entry, previous.incarnation(), now));
		EntrySession session = this.sessions.open(entry, incarnation, now.nanos());
		if (this.settled) {
			sendLoad(entry, session);
		}
	}

	/**
	 * Records that an entry is lost and stops its runs.
	 * @param entry the entry
	 * @param incarnation its incarnation
	 * @param now the current time
	 */
	public void onEntryLost(EntryId entry, Incarnation incarnation, Moment now) {
		if (this.sessions.find(entry, incarnation).isEmpty()) {
			return;
		}
		stopAll(entry, StopCause.ENTRY_LOST, now);
		this.claims.onEntryLost(entry);
		this.sessions.close(entry);
	}

	/**
	 * Processes a message from an entry.
	 * @param entry the sender
	 * @param incarnation its incarnation
	 * @param message the message
	 * @param now the current time
	 */
	public void onMessage(EntryId entry, Incarnation incarnation, Message message, Moment now) {
		this.nowNanos = now.nanos();
		Optional<EntrySession> session = this.sessions.find(entry, incarnation);
		if (session.isEmpty()) {
			return;
		}
		checkForSuspension(now);
		expireSessions(now);
		EntryIncarnation sender = new EntryIncarnation(entry, incarnation);
		if (message instanceof StartRun start) {
			start(sender, session.get(), start, now);
		}
		else if (message instanceof StopRun stop) {
			this.runs.find(sender, stop.run())
				.ifPresentOrElse((held) -> this.runs.stop(held, RunOutcome.STOPPED, StopCause.REQUESTED, now.nanos()),
						() -> this.runEndReporter.reportInactive(sender, stop.run(), this.settled));
		}
		else if (message instanceof HeldRuns held) {
			reconcile(sender, held.runs(), now);
		}
		else if (message instanceof ClaimBatch claim) {
			this.claims.claim(sender, claim, now.nanos());
		}
		else if (message instanceof TakeOverBatch takeOver) {
			this.claims.takeOver(sender, takeOver, now.nanos());
		}
		else if (message instanceof SessionPong pong) {
			session.get().confirm(pong.clockNanos());
		}
	}

	private void start(EntryIncarnation sender, EntrySession session, StartRun start, Moment now) {
		session.recordOrder(start.order());
		session.setLoadSent(false);
		Optional<HeldRun> held = this.runs.find(sender, start.run());
		if (held.isPresent()) {
			this.runNotices.onReordered(start.run(), sender.entry(), "held in state " + held.get().state());
			held.get().setOrder(start.order());
			return;
		}
		if (this.runEndReporter.hasEnded(sender, start.run())) {
			this.runNotices.onReordered(start.run(), sender.entry(), "already ended");
			this.runEndReporter.reportInactive(sender, start.run(), this.settled);
			return;
		}
		Optional<BatchHolder> holder = this.claims.onStartRequested(sender, start.run().batch(), now.nanos());
		if (holder.isPresent()) {
			this.runNotices.onClaimed(start.run(), sender, holder.get());
			this.runEndReporter.reportRefusal(sender, start.run(), RunOutcome.CLAIMED);
			sendLoad(sender.entry(), session);
			return;
		}
		if (this.runEndReporter.wasOrdered(start.run())) {
			refuse(sender, session, start.run(), RunOutcome.SUPERSEDED);
			return;
		}
		if (!isAccepting() || !session.isUsable() || !this.clock.isKnown()) {
			refuse(sender, session, start.run(), RunOutcome.NOT_STARTED);
			return;
		}
		if (!free().fits(start.needs())) {
			refuse(sender, session, start.run(), RunOutcome.NO_ROOM);
			return;
		}
		OptionalLong until = this.leases.grantStart(session, now.nanos());
		if (until.isEmpty()) {
			refuse(sender, session, start.run(), RunOutcome.NOT_STARTED);
			return;
		}
		LeaseTerms lease = terms(until);
		this.runNotices.onOrdered(sender.entry(), session, start, lease, now.nanos());
		this.runNotices.onLeaseGranted(this.runs.list(), now.nanos());
		this.runs.start(sender, start, lease, now.nanos());
		this.sessions.markLoadChanged();
	}

	private void refuse(EntryIncarnation sender, EntrySession session, RunId run, RunOutcome reason) {
		sendNotice(NoticeKind.RUN_REFUSED, run.toString(), reason + ", requested by " + describe(sender, run)
				+ ", free " + free() + ", settled " + this.settled + ", session usable " + session.isUsable());
		this.runEndReporter.reportRefusal(sender, run, reason);
		sendLoad(sender.entry(), session);
	}

	private void reconcile(EntryIncarnation sender, List<RunId> expected, Moment now) {
		this.runs.list()
			.stream()
			.filter((held) -> held.owner.equals(sender) && !expected.contains(held.run))
			.forEach((held) -> this.runs.stop(held, RunOutcome.STOPPED, StopCause.NOT_LISTED, now.nanos()));
		expected.stream()
			.filter((run) -> !this.runs.contains(sender, run))
			.forEach((run) -> this.runEndReporter.reportInactive(sender, run, this.settled));
	}

	/**
	 * Performs the periodic work. To be called about every 20 ms, less often when idle.
	 * @param now the current time
	 */
	public void tick(Moment now) {
		this.nowNanos = now.nanos();
		checkForSuspension(now);
		expireSessions(now);
		boolean pinged = this.sessions.pingIfDue(this.runs.activeEntries(), now.nanos());
		long callNanos = this.settings.callMillis() * NANOS_PER_MILLI;
		checkPendingStarts(now);
		shutOutPreviousGuards(now);
		this.runs.repeatStops(now.nanos());
		if (!this.runs.isEmpty() && this.clock.isExpired(now.nanos())) {
			if (this.runs.list().stream().anyMatch((held) -> RunTable.isLapsed(held, now.nanos()))) {
				this.runNotices.onLeaseEnded(this.endpointIncarnation, this.runs.list(), now.nanos());
			}
			this.runs.onLeaseExpired(now.nanos());
		}
		this.claims.tick(now.nanos());
		this.silence.check(needsPoll(), now.nanos(), () -> describeSilence(now));
		boolean overdue = now.nanos() - this.polls
			.lastSentNanos() >= (this.settings.pollMillis() + this.settings.callMillis()) * NANOS_PER_MILLI;
		if (needsPoll() && (!this.polls.isPollPending() || overdue)
				&& now.nanos() - this.polls.lastSentNanos() >= callNanos / 2) {
			if (this.polls.isPollPending() && this.polls.isGranting(this.polls.lastNumber())) {
				this.token.shutOut(this.polls.lastToken(), this.nowNanos);
			}
			poll(now, this.settled ? this.settings.pollMillis() : 0, true);
		}
		else if (this.report != null && !this.deregistered && this.clock.isReadingOld(now.nanos())
				&& now.nanos() - this.polls.lastSentNanos() >= EndpointClock.MAX_READING_AGE_NANOS) {
			poll(now, 0, true);
		}
		// A load that is sent together with a ping causes no extra wake-up of the entry.
		if (pinged || now.nanos() - this.lastLoadNanos >= loadIntervalNanos()) {
			sendLoads(false, now);
		}
	}

	private EndpointSilence.Situation describeSilence(Moment now) {
		OptionalLong leaseMillis = this.clock.hasGranted()
				? OptionalLong.of((this.clock.grantedUntilNanos() - now.nanos()) / NANOS_PER_MILLI)
				: OptionalLong.empty();
		return new EndpointSilence.Situation(this.endpointIncarnation, this.runs.size(), leaseMillis,
				this.polls.lastNumber());
	}

	private long loadIntervalNanos() {
		return Math.max(MIN_LOAD_INTERVAL_NANOS, this.sessions.size() * NANOS_PER_SECOND / MAX_LOADS_PER_SECOND);
	}

	/**
	 * Refuses new runs from now on.
	 * @param now the current time
	 */
	public void shutDown(Moment now) {
		this.shuttingDown = true;
		sendLoads(true, now);
	}

	/**
	 * Returns whether no run holds resources.
	 * @return whether the guard may shut down without affecting a run
	 */
	public boolean isIdle() {
		return this.runs.isEmpty();
	}

	/**
	 * Returns the state for operators.
	 * @return the state
	 */
	public LeaseStatus status() {
		return new LeaseStatus((this.endpointIncarnation != null) ? this.endpointIncarnation.toString() : "",
				this.settled, isAccepting(), this.runs.size(), this.sessions.size(), this.token.value());
	}

	/**
	 * Returns the time of the oldest last confirmation among the sessions of the entries
	 * that have runs at the endpoint.
	 * @return the time on the monotonic clock, empty if no such session exists
	 */
	public OptionalLong oldestConfirmationNanos() {
		return this.runs.activeEntries()
			.stream()
			.map(this.sessions::find)
			.flatMap(Optional::stream)
			.mapToLong(EntrySession::confirmedNanos)
			.min();
	}

	private void startIncarnation(EndpointIncarnation newIncarnation, Moment now) {
		if (this.endpointIncarnation != null) {
			// The new incarnation has seen no token and may have the id of the previous
			// one, so it would carry out orders that were sent to that one.
			this.token.shutOut(this.token.value(), this.nowNanos);
		}
		this.endpointIncarnation = newIncarnation;
		this.confirmed = false;
		this.firstPoll = this.polls.nextNumber();
		this.announcement = null;
		this.deregistered = false;
		sendNotice(NoticeKind.ENDPOINT_BEGAN, newIncarnation.toString(),
				((this.report != null) ? "capacity " + this.report.capacity() : "not reported yet") + ", "
						+ this.runs.size() + " runs of the previous incarnation");
		this.unreachable = false;
		this.clock.reset();
		this.polls.resetEnds();
		this.settled = false;
		this.runs.onNewIncarnation(now.nanos());
		poll(now, 0, true);
	}

	private boolean needsPoll() {
		if (this.endpointIncarnation == null) {
			return false;
		}
		if (this.announcement != null) {
			return true;
		}
		if (this.deregistered && this.runs.isEmpty()) {
			return false;
		}
		return !this.runs.isEmpty() || !this.settled || this.unreachable || this.polls.hasUnacknowledgedEnds()
				|| this.runs.hasUnknownRun() || this.token.mayOrderBeLate(this.nowNanos);
	}

	// Usually one poll at a time waits for ends. A concurrent one is sent only to find
	// out the effect of an order or if the pending one is overdue.
	private void poll(Moment now, long waitMillis, boolean concurrent) {
		if (this.endpointIncarnation == null || (!concurrent && this.polls.isPollPending())) {
			return;
		}
		if (this.announcement != null) {
			// Whichever incarnation is there answers, and is granted nothing.
			this.orders.poll(new LeaseTerms("", this.token.value(), OptionalLong.empty()),
					this.polls.nextPollOfAnyIncarnation(this.token.value(), now.nanos()));
			return;
		}
		// An endpoint that does not answer may still receive the polls. If they renewed
		// its lease, its runs could never be reported as ended.
		boolean silent = now.nanos() - this.clock
			.answeredNanos() >= (this.settings.pollMillis() + this.settings.callMillis()) * NANOS_PER_MILLI;
		OptionalLong until = (silent || !this.settled) ? OptionalLong.empty() : this.leases.renew(now.nanos());
		if (until.isPresent()) {
			this.runNotices.onLeaseGranted(this.runs.list(), now.nanos());
		}
		Poll poll = this.polls.nextPoll(waitMillis, this.token.value(), now.nanos());
		if (until.isPresent()) {
			this.polls.markGranting(poll);
		}
		this.orders.poll(terms(until), poll);
	}

	// Before the endpoint has reported, its incarnation is not known. It carries out late
	// orders of previous guards until it has received a poll with the token of this one.
	// The polls are repeated, because another incarnation may have started since.
	private void shutOutPreviousGuards(Moment now) {
		if (this.endpointIncarnation == null
				&& now.nanos() - this.polls.lastSentNanos() >= this.settings.pollMillis() * NANOS_PER_MILLI) {
			this.orders.poll(terms(OptionalLong.empty()), this.polls.nextPoll(0, this.token.value(), now.nanos()));
		}
	}

	private void stopAll(EntryId entry, StopCause cause, Moment now) {
		List<HeldRun> entryRuns = this.runs.list().stream().filter((held) -> held.entry().equals(entry)).toList();
		if (!entryRuns.isEmpty()) {
			sendNotice(NoticeKind.SESSION_ENDED, entry.value(), entryRuns.size() + " runs stopped: " + cause);
		}
		entryRuns.forEach((held) -> this.runs.stop(held, RunOutcome.STOPPED, cause, now.nanos()));
	}

	private void onRunEnded(HeldRun held, RunOutcome outcome) {
		long runMillis = (this.nowNanos - held.requestedNanos) / NANOS_PER_MILLI;
		this.runEndReporter.reportEnd(held, outcome, runMillis, this.nowNanos);
		if (outcome != RunOutcome.DONE) {
			sendNotice(NoticeKind.RUN_NOT_DONE, held.run.toString(),
					outcome + " after " + runMillis + " ms, requested by " + describe(held.owner, held.run) + ", start "
							+ held.startResult() + ", free " + free() + ", proof: " + held.endProof());
		}
		this.sessions.markLoadChanged();
		this.sessions.find(held.entry()).ifPresent((session) -> sendLoad(held.entry(), session));
	}

	// Only polls tell which incarnation has answered, so only their readings of the clock
	// are used.
	private void recordAnswer(OptionalLong clockMillis, Moment now) {
		this.nowNanos = now.nanos();
		clockMillis.ifPresent((millis) -> this.clock.recordAnswer(now.nanos()));
	}

	private LeaseTerms terms(OptionalLong until) {
		String endpointId = (this.endpointIncarnation != null) ? this.endpointIncarnation.id() : "";
		return new LeaseTerms(endpointId, this.token.value(), until);
	}

	private boolean isAccepting() {
		return this.report != null && this.settled && !this.deregistered && !this.unreachable && !this.report.draining()
				&& !this.shuttingDown;
	}

	private ResourceAmounts free() {
		return (this.report != null) ? this.report.capacity().minus(this.runs.used()) : ResourceAmounts.NONE;
	}

	private void sendLoads(boolean toAll, Moment now) {
		this.lastLoadNanos = now.nanos();
		if (this.report == null) {
			return;
		}
		this.sessions.forEach((entry, session) -> {
			if (toAll || !session.isLoadSent() || isOrderNewlyConfirmed(entry, session)) {
				sendLoad(entry, session);
			}
		});
	}

	// Otherwise the entry would wait for the next guard to report a run that had started,
	// if this guard is lost.
	private boolean isOrderNewlyConfirmed(EntryId entry, EntrySession session) {
		return session.countedOrder() < session.lastOrder()
				&& this.runs.lastConfirmedOrder(entry, session.lastOrder()) > session.countedOrder();
	}

	private void sendLoad(EntryId entry, EntrySession session) {
		if (this.report == null) {
			return;
		}
		session.setLoadSent(true);
		// The load accounts only for orders up to the first whose run may not have
		// started, so the entry knows which of its runs may start late if this guard is
		// lost.
		long counted = this.runs.lastConfirmedOrder(entry, session.lastOrder());
		session.setCountedOrder(counted);
		ResourceAmounts free = free().plus(this.runs.used(entry, counted, session.lastOrder()));
		EndpointLoad load = new EndpointLoad(this.report.pool(), this.report.labels(), this.report.capacity(), free,
				isAccepting());
		this.entries.send(entry, new EndpointChanged(load, counted));
	}

	private void expireSessions(Moment now) {
		this.sessions.expireUnconfirmed(now.nanos()).forEach((entry) -> stopAll(entry, StopCause.SESSION_EXPIRED, now));
	}

	// While this VM was suspended, the entries may have considered its runs ended and
	// retried the tasks.
	private void checkForSuspension(Moment now) {
		long jumpMillis = this.suspensionDetector.jumpMillis(now);
		if (jumpMillis > 0) {
			sendNotice(NoticeKind.CLOCK_JUMPED, "wall clock", jumpMillis + " ms ahead of the monotonic clock");
			this.sessions.requireConfirmations(now.nanos());
		}
	}

	private String describe(EntryIncarnation owner, RunId run) {
		return owner.entry() + " incarnation " + owner.incarnation().value() + ", "
				+ this.claims.describeClaim(run.batch(), owner);
	}

	private void sendNotice(NoticeKind kind, String subject, String detail) {
		this.notices.accept(new Notice(kind, subject, detail));
	}

}
