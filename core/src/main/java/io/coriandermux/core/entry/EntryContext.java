package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.coriandermux.core.accept.JobTable;
import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeView;
import io.coriandermux.core.home.TimingLimits;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.lease.SuspensionDetector;
import io.coriandermux.core.message.ForwardAnswer;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.queue.Scheduler;
import io.coriandermux.core.reply.FailureLog;
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.reply.PendingRequests;
import io.coriandermux.core.reply.Requester;
import io.coriandermux.core.route.PoolHistory;
import io.coriandermux.core.route.RouteFinder;
import io.coriandermux.core.table.Tables;

/**
 * State shared by the components of an entry, the time of the current event, and the
 * effects that the event has produced so far.
 */
final class EntryContext {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * Reading the two clocks takes much less. The home lease lasts longer by at most this
	 * time because of suspensions that are not detected.
	 */
	private static final long SUSPENSION_TOLERANCE_MILLIS = 100;

	private final EntrySettings settings;

	private final SuspensionDetector suspensionDetector = new SuspensionDetector(SUSPENSION_TOLERANCE_MILLIS);

	private OptionalLong resumedNanos = OptionalLong.empty();

	private final Scheduler scheduler;

	private final HomeView homes;

	private final JobTable jobs;

	private final PendingRequests<JobKey> pendingRequests = new PendingRequests<>(PendingRequest::outcomeDeadlineNanos);

	private final PoolHistory poolHistory;

	private final FailureLog failures = new FailureLog();

	private Tables tables = Tables.EMPTY;

	private RouteFinder routes = new RouteFinder(Tables.EMPTY);

	private Moment now = new Moment(0, 0);

	private List<EntryEffect> effects = new ArrayList<>();

	EntryContext(EntrySettings settings, Scheduler scheduler) {
		this.settings = settings;
		this.scheduler = scheduler;
		this.homes = new HomeView(new HomeMember(settings.self().entry(), settings.self().incarnation()));
		this.jobs = new JobTable(TimingLimits.keepNanos(settings.retentionMillis()), settings.maxJobs(),
				settings.answerBytes());
		this.poolHistory = new PoolHistory(
				TimingLimits.keepNanos(settings.retentionMillis() + TimingLimits.FENCE_MARGIN_MILLIS));
	}

	void beginEvent(Moment moment) {
		this.now = moment;
		this.effects = new ArrayList<>();
		long jumpMillis = this.suspensionDetector.jumpMillis(moment);
		if (jumpMillis > 0) {
			this.resumedNanos = OptionalLong.of(moment.nanos());
			publishNotice(NoticeKind.CLOCK_JUMPED, "wall clock", jumpMillis + " ms ahead of the monotonic clock");
		}
	}

	// Whether a confirmation of something that this entry sent at the given time still
	// counts. While a VM is suspended its monotonic clock may stand still, so what was
	// sent before a suspension has an unknown age.
	boolean isConfirmationValid(long sentNanos, long maxAgeNanos) {
		return this.now.nanos() - sentNanos <= maxAgeNanos
				&& (this.resumedNanos.isEmpty() || sentNanos - this.resumedNanos.getAsLong() > 0);
	}

	List<EntryEffect> effects() {
		return this.effects;
	}

	void addEffect(EntryEffect effect) {
		this.effects.add(effect);
	}

	void send(GuardId guard, Message message) {
		this.effects.add(new SendToGuard(guard, message));
	}

	void send(EntryId peer, Message message) {
		this.effects.add(new SendToPeer(peer, message));
	}

	void reply(Requester requester, CallerReply reply) {
		if (requester.peer().isPresent()) {
			send(requester.peer().get(), new ForwardAnswer(requester.number(), reply));
		}
		else {
			this.effects.add(new ReplyToCaller(requester.number(), reply));
		}
	}

	void refuse(Requester requester, Outcome outcome, ReplyCode code, String reason, long retryAfterMillis) {
		publishNotice(NoticeKind.REQUEST_REFUSED, code.name(), reason);
		reply(requester, new Refusal(outcome, code, reason, retryAfterMillis));
	}

	void publishNotice(NoticeKind kind, String subject, String detail) {
		this.effects.add(new EntryNotice(new Notice(kind, subject, detail)));
	}

	long nanosAfter(long millis) {
		return this.now.nanos() + millis * NANOS_PER_MILLI;
	}

	void applyTables(Tables next) {
		this.tables = next;
		this.routes = new RouteFinder(next);
		this.poolHistory.update(next, this.now);
		this.scheduler.applyTables(next);
	}

	Tables tables() {
		return this.tables;
	}

	RouteFinder routes() {
		return this.routes;
	}

	PoolHistory pools() {
		return this.poolHistory;
	}

	EntrySettings settings() {
		return this.settings;
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	HomeView homes() {
		return this.homes;
	}

	JobTable jobs() {
		return this.jobs;
	}

	PendingRequests<JobKey> pendingRequests() {
		return this.pendingRequests;
	}

	FailureLog failures() {
		return this.failures;
	}

	Moment now() {
		return this.now;
	}

}
