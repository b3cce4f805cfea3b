package io.coriandermux.core.entry;

import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import io.coriandermux.core.accept.JobRecord;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.home.Partitions;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.Forward;
import io.coriandermux.core.message.ForwardAnswer;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.HomesPull;
import io.coriandermux.core.message.HomesPush;
import io.coriandermux.core.message.Leaving;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Recall;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.queue.Scheduler;
import io.coriandermux.core.reply.JobFailure;
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.reply.Requester;

/**
 * Event-driven state machine of an entry. It performs no I/O: each event yields the
 * effects that the process carries out.
 */
public final class EntryNode {

	private static final BitSet ALL_PARTITIONS = allPartitions();

	private final EntryContext context;

	private final PeerRegistry peers;

	private final GuardRegistry guards;

	private final TakeOverCoordinator takeOvers;

	private final HomeTableManager homes;

	private final TaskTracker tasks;

	private final RequestDispatcher dispatcher;

	/**
	 * Creates an entry that has read neither tables nor homes.
	 * @param settings the settings
	 * @param scheduler the scheduler
	 * @param timeOrderedUuids supplies a new version 7 UUID as text on each call
	 */
	public EntryNode(EntrySettings settings, Scheduler scheduler, Supplier<String> timeOrderedUuids) {
		this.context = new EntryContext(settings, scheduler);
		this.peers = new PeerRegistry(this.context);
		this.guards = new GuardRegistry(this.context);
		this.takeOvers = new TakeOverCoordinator(this.context, this.guards);
		this.homes = new HomeTableManager(this.context, this.peers);
		HomeLease lease = new HomeLease(this.context, this.guards);
		OutcomeReporter outcomes = new OutcomeReporter(this.context, lease, this.peers, this.homes);
		this.tasks = new TaskTracker(this.context, this.guards, this.takeOvers, lease, outcomes);
		JobRequestHandler jobRequests = new JobRequestHandler(this.context, lease, this.takeOvers, this.homes,
				this.tasks, outcomes);
		this.dispatcher = new RequestDispatcher(this.context, this.peers, this.homes, jobRequests, timeOrderedUuids);
	}

	private static BitSet allPartitions() {
		BitSet all = new BitSet(Partition.COUNT);
		all.set(0, Partition.COUNT);
		return all;
	}

	/**
	 * Handles an event.
	 * @param event the event
	 * @param now the current time
	 * @return the effects to carry out in order
	 */
	public List<EntryEffect> handle(EntryEvent event, Moment now) {
		this.context.beginEvent(now);
		if (event instanceof GuardMessage arrived) {
			onGuardMessage(arrived);
		}
		else if (event instanceof CallerRequested requested) {
			this.dispatcher.onRequest(Requester.caller(requested.reference()), requested.request());
		}
		else if (event instanceof PeerMessage arrived) {
			onPeerMessage(arrived);
		}
		else if (event instanceof CallerDisconnected disconnected) {
			this.dispatcher.onCallerDisconnected(Requester.caller(disconnected.reference()));
		}
		else if (event instanceof EntryTick) {
			onTick();
		}
		else if (event instanceof TablesChanged changed) {
			this.context.applyTables(changed.tables());
		}
		else {
			onClusterEvent(event);
			this.homes.planMoves();
		}
		this.dispatcher.retryHeld(this.takeOvers.advance());
		if (this.guards.isRefreshDue()) {
			this.guards.refreshUsable(this.takeOvers.openPartitions()).forEach(this.tasks::resend);
		}
		this.tasks.placeTasks();
		return this.context.effects();
	}

	private void onClusterEvent(EntryEvent event) {
		if (event instanceof GuardConnected connected) {
			this.guards.onConnected(connected.guard()).ifPresent(this::onGuardLost);
		}
		else if (event instanceof GuardLost lost) {
			if (this.guards.onLost(lost.guard(), lost.incarnation())) {
				onGuardLost(lost.guard());
			}
		}
		else if (event instanceof PeerConnected connected) {
			this.peers.onConnected(connected.peer()).ifPresent(this::onPeerLost);
			this.homes.onPeerConnected(connected.peer().entry());
			this.dispatcher.onPeerConnected(new HomeMember(connected.peer().entry(), connected.peer().incarnation()));
			this.dispatcher.retryHeld(ALL_PARTITIONS);
		}
		else if (event instanceof PeerLost lost) {
			HomeMember peer = new HomeMember(lost.peer(), lost.incarnation());
			this.peers.onLost(peer);
			onPeerLost(peer);
		}
		else if (event instanceof ShutdownRequested) {
			this.homes.beginShutdown();
		}
		else if (event instanceof StoreUnavailable) {
			this.homes.onStoreUnavailable();
			this.guards.history().onStoreFailed(this.context.now());
			this.dispatcher.onStoreUnavailable();
		}
		else {
			this.homes.onStoreAvailable();
			onStoreRead(event);
		}
	}

	private void onStoreRead(EntryEvent event) {
		if (event instanceof HomesRead read) {
			this.homes.onWriteCompleted();
			applyHomes(read.homes());
		}
		else if (event instanceof HomesWriteRefused refused) {
			this.homes.onWriteCompleted();
			applyHomes(refused.homes());
		}
		else if (event instanceof GuardsListed listed) {
			this.guards.onListed(listed.guards());
			this.takeOvers.onGuardsListed(listed);
		}
		else if (event instanceof EntriesListed listed) {
			this.peers.onListed(listed.entries());
		}
	}

	private void onGuardLost(GuardId guard) {
		this.context.publishNotice(NoticeKind.GUARD_LOST, guard.value(), "its running tasks have an unknown outcome");
		this.tasks.onGuardLost(guard);
	}

	private void onPeerLost(HomeMember peer) {
		this.context.publishNotice(NoticeKind.ENTRY_LOST, peer.entry().value(), "its partitions have no home");
		this.dispatcher.onPeerLost(peer);
	}

	private void applyHomes(HomeTable table) {
		this.homes.apply(table).ifPresent((change) -> {
			List<PendingRequest> waiting = losePartitions(change.lost());
			if (!change.gained().isEmpty()) {
				this.takeOvers.begin(change.gained());
			}
			// Requests are retried last, because one change can lose a partition under
			// one epoch and gain it under the next.
			waiting.forEach(this.dispatcher::retry);
			this.dispatcher.retryHeld(ALL_PARTITIONS);
		});
	}

	private List<PendingRequest> losePartitions(BitSet lost) {
		if (lost.isEmpty()) {
			return List.of();
		}
		this.context.publishNotice(NoticeKind.PARTITIONS_LOST, lost.cardinality() + " partitions",
				"they have another home");
		this.takeOvers.removePartitions(lost);
		this.guards.requestRefresh();
		return this.tasks.dropJobs(lost);
	}

	// Drops the partitions for which a guard holds a newer epoch than this entry.
	private void onEpochsReported(List<PartitionEpoch> held) {
		BitSet lost = new BitSet(Partition.COUNT);
		held.stream()
			.filter(this.context.homes()::recordGuardEpoch)
			.forEach((epoch) -> lost.set(epoch.partition().number()));
		losePartitions(lost).forEach(this.dispatcher::retry);
	}

	private void onGuardMessage(GuardMessage arrived) {
		GuardId guard = arrived.guard();
		Message message = arrived.message();
		if (this.guards.link(guard, arrived.incarnation()).isEmpty()) {
			this.context.publishNotice(NoticeKind.MESSAGE_DROPPED, guard.value(),
					"the sender's incarnation has no link");
		}
		else if (message instanceof Answer answer) {
			this.tasks.onAnswer(guard, answer);
		}
		else if (message instanceof Heartbeat heartbeat) {
			this.guards.onHeartbeat(guard, heartbeat);
		}
		else if (message instanceof Refused refused) {
			onEpochsReported(List.of(new PartitionEpoch(Partitions.of(refused.task().job()), refused.epoch())));
			this.tasks.onRefused(guard, refused);
		}
		else if (message instanceof FenceAnswer page) {
			onEpochsReported(page.epochs());
			page.entries().forEach((entry) -> this.tasks.onLedgerEntry(guard, entry));
			if (page.last()) {
				this.guards.onFenced(guard, page.epochs());
				this.takeOvers.onFenceAnswered(guard, page.startedAtEpochMillis());
			}
		}
		else if (message instanceof Credit credit) {
			this.guards.addCredits(guard, credit.count());
		}
		else if (message instanceof Recall recall) {
			this.guards.onRecall(guard, recall.count());
		}
		else if (message instanceof Leaving) {
			this.guards.onLeaving(guard);
			this.context.publishNotice(NoticeKind.GUARD_LEAVING, guard.value(), "the endpoint is draining");
		}
	}

	private void onPeerMessage(PeerMessage arrived) {
		HomeMember peer = new HomeMember(arrived.peer(), arrived.incarnation());
		Message message = arrived.message();
		if (!this.peers.isLinked(peer)) {
			this.context.publishNotice(NoticeKind.MESSAGE_DROPPED, arrived.peer().value(),
					"the sender's incarnation has no link");
		}
		else if (message instanceof Forward forward) {
			this.dispatcher.onRequest(Requester.peer(arrived.peer(), forward.correlation()), forward.request());
		}
		else if (message instanceof ForwardAnswer answer) {
			this.dispatcher.onForwardAnswer(peer, answer);
		}
		else if (message instanceof Heartbeat heartbeat) {
			this.peers.onHeartbeat(arrived.peer(), heartbeat);
		}
		else if (message instanceof HomesPull pull) {
			this.peers.onHomesPull(arrived.peer(), pull);
		}
		else if (message instanceof Leaving) {
			this.peers.onLeaving(peer);
		}
		else if (message instanceof HomesPush push) {
			applyHomes(push.homes());
		}
	}

	private void onTick() {
		this.tasks.expireJobs();
		this.context.jobs().expire(this.context.now());
		this.context.pools().expire(this.context.now());
		this.takeOvers.expire();
		this.dispatcher.expire();
		this.homes.planMoves();
	}

	/**
	 * Returns the status for operators.
	 * @param now the current time
	 * @return the status
	 */
	public EntryStatus status(Moment now) {
		boolean finished = this.homes.isShuttingDown() && this.context.jobs().activeCount() == 0
				&& this.dispatcher.waitingCount() == 0 && this.homes.isHandedOver();
		return new EntryStatus(this.context.tables().revision(), this.context.homes().table().revision(),
				this.context.homes().ownPartitions().cardinality(), this.takeOvers.openingPartitionCount(),
				this.context.jobs().size(), this.context.jobs().activeCount(), this.dispatcher.waitingCount(),
				this.guards.links().size(), this.guards.usableCount(), this.guards.confirmedCount(now),
				this.peers.linkCount(), this.homes.isStoreDown(), this.homes.isShuttingDown(), finished);
	}

	/**
	 * Explains what happened to a job.
	 * @param key the job
	 * @return the explanation, or empty if this entry has no record of it
	 */
	public Optional<JobExplanation> explain(JobKey key) {
		return this.context.jobs().find(key).map(EntryNode::explain);
	}

	private static JobExplanation explain(JobRecord job) {
		List<TaskExplanation> tasks = job.tasks()
			.stream()
			.map((task) -> new TaskExplanation(task.task().route(), task.task().pool(), task.state(), task.guard(),
					task.outcome(), task.reason()))
			.toList();
		return new JobExplanation(job.key(), job.home(),
				job.isFinished() ? Optional.of(job.outcome()) : Optional.empty(), tasks);
	}

	/**
	 * Returns the newest failures of an owner's jobs.
	 * @param owner the owner
	 * @return the failures, oldest first
	 */
	public List<JobFailure> failures(OwnerId owner) {
		return this.context.failures().failuresOf(owner);
	}

}
