package io.coriandermux.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.entry.CallerRequested;
import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryNode;
import io.coriandermux.core.entry.EntrySettings;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.entry.EntryTick;
import io.coriandermux.core.entry.GuardConnected;
import io.coriandermux.core.entry.GuardMessage;
import io.coriandermux.core.entry.GuardsListed;
import io.coriandermux.core.entry.HomesRead;
import io.coriandermux.core.entry.ListGuards;
import io.coriandermux.core.entry.ReplyToCaller;
import io.coriandermux.core.entry.SendToGuard;
import io.coriandermux.core.entry.TablesChanged;
import io.coriandermux.core.entry.WriteHomes;
import io.coriandermux.core.guard.EntryConnected;
import io.coriandermux.core.guard.EntryMessage;
import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.GuardEvent;
import io.coriandermux.core.guard.GuardHomesRead;
import io.coriandermux.core.guard.GuardNode;
import io.coriandermux.core.guard.GuardSettings;
import io.coriandermux.core.guard.GuardTick;
import io.coriandermux.core.guard.RunTask;
import io.coriandermux.core.guard.SendToEntry;
import io.coriandermux.core.guard.TaskEnded;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.queue.PoolScheduler;
import io.coriandermux.core.queue.SchedulerSettings;
import io.coriandermux.core.slot.SharedSlotAllocator;
import io.coriandermux.core.slot.SlotSettings;

/**
 * One entry and its guards, connected without delay. Endpoints answer immediately.
 */
final class NodeFixture {

	private static final byte[] BODY = "{\"sleepMs\":100}".getBytes(StandardCharsets.UTF_8);

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long RUN_NANOS = 100 * NANOS_PER_MILLI;

	private static final long LEDGER_BYTES = 1L << 30;

	private static final long DEADLINE_MILLIS = 60_000;

	private static final int MAX_JOBS = 10_000_000;

	private static final int START_MILLIS = 10_000;

	private static final int HEARTBEAT_MILLIS = 500;

	/**
	 * Heartbeats for 10 s, longer than the home lease and the clock skew. After that, no
	 * job counts as older than the take-over.
	 */
	private static final int SETTLING_HEARTBEATS = 20;

	private final Map<GuardId, GuardNode> guards = new LinkedHashMap<>();

	private final Map<GuardId, GuardInfo> infos = new LinkedHashMap<>();

	private final Queue<Runnable> deliveries = new ArrayDeque<>();

	private final EntryInfo entryInfo = new EntryInfo(new EntryId("e1"), new Incarnation(1), "127.0.0.1", 1,
			new ZoneName("zone-0"));

	private final EntryNode entry;

	private Moment now = new Moment(START_MILLIS * NANOS_PER_MILLI, START_MILLIS);

	private long completedJobs;

	private CallerReply lastReply;

	NodeFixture(int count) {
		this.entry = new EntryNode(
				new EntrySettings(this.entryInfo, EntrySettings.DEFAULT_RETENTION_MILLIS, MAX_JOBS, LEDGER_BYTES),
				new PoolScheduler(SchedulerSettings.of(this.entryInfo.zone())), () -> "");
		for (GuardInfo info : FleetFixture.guards(count)) {
			GuardSettings settings = new GuardSettings(info, EntrySettings.DEFAULT_RETENTION_MILLIS, LEDGER_BYTES, 0);
			this.infos.put(info.guard(), info);
			this.guards.put(info.guard(),
					new GuardNode(settings, new SharedSlotAllocator(FleetFixture.SLOTS, SlotSettings.defaults())));
		}
		handleEntryEvent(new TablesChanged(FleetFixture.tables()));
		handleEntryEvent(new GuardsListed(List.copyOf(this.infos.values()), 0));
		handleEntryEvent(new HomesRead(HomeTable.EMPTY));
		this.guards.keySet().forEach(this::connectGuard);
		for (int round = 0; round < SETTLING_HEARTBEATS; round++) {
			deliverHeartbeats();
			advanceClock(HEARTBEAT_MILLIS * NANOS_PER_MILLI);
		}
	}

	/** Delivers a heartbeat from each guard and a tick to each process. */
	void deliverHeartbeats() {
		this.guards.keySet().forEach((guard) -> {
			long clock = this.now.nanos();
			handleEntryEvent(new GuardMessage(guard, this.infos.get(guard).incarnation(),
					new Heartbeat(clock, clock, this.entryInfo.incarnation(), new Revision(1), new Revision(1))));
		});
		handleEntryEvent(new EntryTick());
		this.guards.keySet().forEach((guard) -> handleGuardEvent(guard, new GuardTick()));
	}

	// Both ends handle the connection before the first message of either arrives.
	private void connectGuard(GuardId guard) {
		this.deliveries.add(() -> {
			handleGuardEvent(guard, new EntryConnected(this.entryInfo.entry(), this.entryInfo.incarnation()));
			handleEntryEvent(new GuardConnected(this.infos.get(guard)));
		});
		runDeliveries();
	}

	void advanceClock(long nanos) {
		this.now = this.now.plusNanos(nanos);
	}

	EntryStatus status() {
		return this.entry.status(this.now);
	}

	CallerReply lastReply() {
		return this.lastReply;
	}

	long completedJobs() {
		return this.completedJobs;
	}

	void submit(int number) {
		TaskSpec task = new TaskSpec(FleetFixture.PATH, BODY, Resources.NONE, 0);
		handleEntryEvent(new CallerRequested(number, new SubmitJob(FleetFixture.OWNER, new JobId("job-" + number),
				this.now.epochMillis(), DEADLINE_MILLIS, false, List.of(task), DEADLINE_MILLIS)));
	}

	private void handleEntryEvent(EntryEvent event) {
		this.deliveries.add(() -> this.entry.handle(event, this.now).forEach(this::applyEffect));
		runDeliveries();
	}

	private void handleGuardEvent(GuardId guard, GuardEvent event) {
		this.deliveries
			.add(() -> this.guards.get(guard).handle(event, this.now).forEach((effect) -> applyEffect(guard, effect)));
		runDeliveries();
	}

	// Only the outermost call runs deliveries; calls from within a delivery only enqueue.
	private void runDeliveries() {
		if (this.deliveries.size() > 1) {
			return;
		}
		while (!this.deliveries.isEmpty()) {
			this.deliveries.peek().run();
			this.deliveries.remove();
		}
	}

	private void applyEffect(EntryEffect effect) {
		if (effect instanceof SendToGuard send) {
			handleGuardEvent(send.guard(),
					new EntryMessage(this.entryInfo.entry(), this.entryInfo.incarnation(), send.message()));
		}
		else if (effect instanceof WriteHomes write) {
			HomeTable next = write.next();
			HomeTable written = new HomeTable(new Revision(1), next.members(), next.homes(), next.epochs());
			this.guards.keySet().forEach((guard) -> handleGuardEvent(guard, new GuardHomesRead(written)));
			handleEntryEvent(new HomesRead(written));
		}
		else if (effect instanceof ListGuards list) {
			handleEntryEvent(new GuardsListed(List.copyOf(this.infos.values()), list.request()));
		}
		else if (effect instanceof ReplyToCaller reply) {
			this.lastReply = reply.reply();
			this.completedJobs += (reply.reply() instanceof JobOutcome) ? 1 : 0;
		}
	}

	private void applyEffect(GuardId guard, GuardEffect effect) {
		if (effect instanceof SendToEntry send) {
			handleEntryEvent(new GuardMessage(guard, this.infos.get(guard).incarnation(), send.message()));
		}
		else if (effect instanceof RunTask run) {
			Start start = run.start();
			handleGuardEvent(guard, new TaskEnded(start.task(), start.attempt(), true, BODY, RUN_NANOS));
		}
	}

}
