package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * A dispatcher of an entry with a manual clock and simulated guards. It records the
 * answers to callers and the messages to guards.
 */
final class DispatcherFixture {

	static final Incarnation INCARNATION = new Incarnation(1);

	static final PoolName POOL = new PoolName("orders");

	static final ResourceAmounts CAPACITY = new ResourceAmounts(10_000, 1000, 0);

	static final ResourceAmounts NEEDS = new ResourceAmounts(4_000, 100, 0);

	final Map<CallerRef, BatchAnswer> answers = new LinkedHashMap<>();

	final List<SentMessage> sentMessages = new ArrayList<>();

	final List<PeerMessage> peerMessages = new ArrayList<>();

	final List<Notice> notices = new ArrayList<>();

	private long nanos = 1_000_000_000L;

	final BatchDispatcher dispatcher = new BatchDispatcher(incarnationOf("e1"), DispatchSettings.defaults(), 1.5,
			new DispatchChannels(this.answers::put,
					(guard, message) -> this.sentMessages.add(new SentMessage(guard, message)),
					(entry, message) -> this.peerMessages.add(new PeerMessage(entry, message)), this.notices::add),
			now());

	private long lastCaller;

	static EntryIncarnation incarnationOf(String entry) {
		return new EntryIncarnation(new EntryId(entry), INCARNATION);
	}

	static DispatcherFixture withGuards(String... guards) {
		DispatcherFixture fixture = new DispatcherFixture();
		fixture.dispatcher.applyRoutes(routes(1, "/q/"));
		fixture.advance(4_000);
		for (String guard : guards) {
			fixture.connectGuard(guard, CAPACITY, Set.of());
		}
		return fixture;
	}

	static BatchRouteTable routes(long version, String prefix) {
		return new BatchRouteTable(version,
				List.of(new BatchRoute(new RouteName("quotes"), "host", prefix, POOL, 0, 2, 1.6, 60)));
	}

	Moment now() {
		return new Moment(this.nanos, this.nanos / 1_000_000);
	}

	void connectGuard(String guard, ResourceAmounts free, Set<String> labels) {
		this.dispatcher.onGuardConnected(new GuardId(guard), INCARNATION);
		reportLoad(guard, CAPACITY, free, labels, 0);
	}

	void reportLoad(String guard, ResourceAmounts capacity, ResourceAmounts free, Set<String> labels,
			long countedOrder) {
		EndpointLoad load = new EndpointLoad(POOL, labels, capacity, free, true);
		this.dispatcher.onMessage(new GuardId(guard), INCARNATION, new EndpointChanged(load, countedOrder), now());
		this.dispatcher.placeIfDue(now());
	}

	void advance(long millis) {
		for (long elapsed = 0; elapsed < millis; elapsed += 10) {
			this.nanos += 10_000_000;
			this.dispatcher.tick(now());
		}
	}

	void skip(long millis) {
		this.nanos += millis * 1_000_000;
	}

	void standStill(long millis) {
		skip(millis);
		this.dispatcher.tick(now());
	}

	CallerRef submit(String id, int tasks) {
		return submit(id, new TaskGroup(tasks, NEEDS, 200, "", "", 0));
	}

	CallerRef submit(String id, TaskGroup tasks) {
		return submit("/q/" + id, new BatchRequest(new BatchId(id), "spec", tasks, 3_000, Optional.empty()));
	}

	CallerRef submit(String path, BatchRequest request) {
		this.lastCaller++;
		CallerRef caller = new CallerRef(this.lastCaller);
		this.dispatcher.submit(caller, "host", path, request, now());
		return caller;
	}

	List<RunId> starts(String guard) {
		return this.sentMessages.stream()
			.filter((sent) -> sent.guard().value().equals(guard) && sent.message() instanceof StartRun)
			.map((sent) -> ((StartRun) sent.message()).run())
			.toList();
	}

	List<RunId> starts() {
		return this.sentMessages.stream()
			.filter((sent) -> sent.message() instanceof StartRun)
			.map((sent) -> ((StartRun) sent.message()).run())
			.toList();
	}

	List<RunId> stops() {
		return this.sentMessages.stream()
			.filter((sent) -> sent.message() instanceof StopRun)
			.map((sent) -> ((StopRun) sent.message()).run())
			.toList();
	}

	void endRun(String guard, RunId run, RunOutcome outcome) {
		this.dispatcher.onMessage(new GuardId(guard), INCARNATION, new RunEnded(run, outcome, 200), now());
		this.dispatcher.placeIfDue(now());
	}

	List<Notice> notices(NoticeKind kind) {
		return this.notices.stream().filter((notice) -> notice.kind() == kind).toList();
	}

	BatchVerdict verdict(CallerRef caller) {
		BatchAnswer answer = this.answers.get(caller);
		return (answer != null) ? answer.verdict() : null;
	}

	/**
	 * A message that the dispatcher has sent to another entry.
	 *
	 * @param entry the entry
	 * @param message the message
	 */
	record PeerMessage(EntryId entry, Message message) {

	}

	/**
	 * A message that the dispatcher has sent to a guard.
	 *
	 * @param guard the guard
	 * @param message the message
	 */
	record SentMessage(GuardId guard, Message message) {

	}

}
