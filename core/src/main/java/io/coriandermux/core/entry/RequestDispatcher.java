package io.coriandermux.core.entry;

import java.util.BitSet;
import java.util.Optional;
import java.util.function.Supplier;

import io.coriandermux.core.accept.JobRecord;
import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.Partitions;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.message.ForwardAnswer;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.reply.PendingRequests;
import io.coriandermux.core.reply.Requester;
import io.coriandermux.core.route.PendingForwards;

/**
 * Dispatches each request to the home of its job: to this entry, or in one hop to another
 * entry. Requests whose home is not known yet are held.
 */
final class RequestDispatcher {

	/** Time in which the home has to reply after the caller's wait has ended. */
	private static final long REPLY_MARGIN_MILLIS = 1_000;

	/** Extra wait for the outcome of a job that is being aborted. */
	private static final long ABORT_WAIT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long RETRY_AFTER_MILLIS = 500;

	private final EntryContext context;

	private final PeerRegistry peers;

	private final HomeTableManager homes;

	private final JobRequestHandler jobRequests;

	private final Supplier<String> timeOrderedUuids;

	private final PendingForwards forwards;

	private final PendingRequests<Partition> heldRequests = new PendingRequests<>(PendingRequest::homeDeadlineNanos);

	private int reserveCursor;

	RequestDispatcher(EntryContext context, PeerRegistry peers, HomeTableManager homes, JobRequestHandler jobRequests,
			Supplier<String> timeOrderedUuids) {
		this.context = context;
		this.forwards = new PendingForwards(context.settings().self().incarnation().sequenceBase());
		this.peers = peers;
		this.homes = homes;
		this.jobRequests = jobRequests;
		this.timeOrderedUuids = timeOrderedUuids;
	}

	void onRequest(Requester requester, CallerRequest request) {
		long waitMillis = 0;
		if (request instanceof SubmitJob submit) {
			waitMillis = Math.max(0, submit.waitMillis());
		}
		else if (request instanceof FetchJob fetch) {
			waitMillis = Math.max(0, fetch.waitMillis());
		}
		else if (request instanceof CancelJob) {
			waitMillis = REPLY_MARGIN_MILLIS;
		}
		long untilNanos = this.context.nanosAfter(waitMillis);
		PendingRequest waiter = new PendingRequest(requester, request, this.context.now().nanos(), untilNanos,
				this.context.nanosAfter(waitMillis + REPLY_MARGIN_MILLIS));
		if (waitingCount() >= this.context.settings().maxJobs()) {
			this.context.refuse(requester, Outcome.UNDECIDED, ReplyCode.ENTRY_FULL, "too many requests wait",
					RETRY_AFTER_MILLIS);
			return;
		}
		dispatch(waiter);
	}

	static Optional<JobKey> keyOf(CallerRequest request) {
		if (request instanceof SubmitJob submit) {
			return Optional.of(new JobKey(submit.owner(), submit.job().text()));
		}
		if (request instanceof FetchJob fetch) {
			return Optional.of(new JobKey(fetch.owner(), fetch.job().text()));
		}
		if (request instanceof CancelJob cancel) {
			return Optional.of(new JobKey(cancel.owner(), cancel.job().text()));
		}
		return Optional.empty();
	}

	private void dispatch(PendingRequest waiter) {
		Optional<JobKey> key = keyOf(waiter.request());
		if (key.isEmpty()) {
			reserveId(waiter);
			return;
		}
		Partition partition = Partitions.of(key.get());
		if (!isTableCurrent(partition, key.get())) {
			hold(waiter, partition);
		}
		else if (this.context.homes().isHome(partition)) {
			if (this.homes.isHandingOver(partition) || !this.jobRequests.tryHandle(waiter, key.get(), partition)) {
				this.heldRequests.add(partition, waiter);
			}
		}
		else {
			forward(waiter, partition);
		}
	}

	// The table in force is stale if an issued id or a guard has a higher epoch of the
	// partition than the table.
	private boolean isTableCurrent(Partition partition, JobKey key) {
		Epoch epoch = this.context.homes().epoch(partition);
		boolean issuedUnderNewerEpoch = new JobId(key.job()).partitionEpoch()
			.map(PartitionEpoch::epoch)
			.filter((issuing) -> issuing.compareTo(epoch) > 0)
			.isPresent();
		return !issuedUnderNewerEpoch && !this.context.homes().isStale(partition);
	}

	private void forward(PendingRequest waiter, Partition partition) {
		Optional<EntryId> peer = waiter.requester().peer();
		Optional<HomeMember> home = this.context.homes().home(partition).filter(this.peers::isLinked);
		if (peer.isPresent() && !this.peers.hasNewerHomes(peer.get())) {
			refuseUnavailable(waiter, "the request was forwarded to an entry that is not the home of the job");
		}
		else if (peer.isPresent() || home.isEmpty()) {
			hold(waiter, partition);
		}
		else {
			this.context.send(home.get().entry(), this.forwards.add(waiter, home.get()));
		}
	}

	// During a store outage a request for another home is refused at once, since no
	// take-over can end its wait.
	private void hold(PendingRequest waiter, Partition partition) {
		if (this.homes.isStoreDown() && !this.context.homes().isHome(partition)) {
			refuseUnavailable(waiter, "the home of the job cannot be reached and the store is not available");
			return;
		}
		this.heldRequests.add(partition, waiter);
	}

	private void refuseUnavailable(PendingRequest waiter, String reason) {
		this.context.refuse(waiter.requester(), Outcome.UNDECIDED, ReplyCode.HOME_UNAVAILABLE, reason,
				RETRY_AFTER_MILLIS);
	}

	private void reserveId(PendingRequest waiter) {
		int[] own = this.context.homes().ownPartitions().stream().toArray();
		for (int attempt = 0; attempt < Partition.COUNT; attempt++) {
			int next = Math.floorMod(this.reserveCursor++, Partition.COUNT);
			Partition partition = new Partition((own.length > 0) ? own[next % own.length] : next);
			boolean live = this.context.homes().home(partition).filter((home) -> isLive(home)).isPresent();
			if (live && !this.context.homes().isStale(partition)) {
				this.context.reply(waiter.requester(), new JobIdReserved(
						JobId.issue(partition, this.context.homes().epoch(partition), this.timeOrderedUuids.get())));
				return;
			}
		}
		refuseUnavailable(waiter, "no partition has a live home");
	}

	private boolean isLive(HomeMember home) {
		return home.equals(this.peers.self()) || this.peers.isLinked(home);
	}

	// Dispatches the held requests of the partitions again.
	void retryHeld(BitSet partitions) {
		for (Partition partition : this.heldRequests.keys()) {
			if (partitions.get(partition.number())) {
				this.heldRequests.take(partition).forEach(this::dispatch);
			}
		}
	}

	void retry(PendingRequest waiter) {
		dispatch(waiter);
	}

	void onPeerConnected(HomeMember peer) {
		this.forwards.pendingFor(peer).forEach((forward) -> this.context.send(peer.entry(), forward));
	}

	void onPeerLost(HomeMember peer) {
		this.heldRequests.removeIf((requester) -> requester.peer().filter(peer.entry()::equals).isPresent());
		this.context.waiters().removeIf((requester) -> requester.peer().filter(peer.entry()::equals).isPresent());
		this.forwards.takeAllFor(peer).forEach(this::dispatch);
	}

	void onForwardAnswer(HomeMember peer, ForwardAnswer answer) {
		Optional<PendingRequest> waiter = this.forwards.takeAnswered(answer.correlation(), peer);
		if (waiter.isEmpty()) {
			this.context.publishNotice(NoticeKind.MESSAGE_DROPPED, peer.entry().value(),
					"no request has correlation " + answer.correlation());
			return;
		}
		if (hasHomeMoved(waiter.get(), peer, answer.reply())) {
			dispatch(waiter.get());
			return;
		}
		this.context.reply(waiter.get().requester(), answer.reply());
	}

	// Whether the request was refused as unavailable by an entry that is no longer the
	// home of the job.
	private boolean hasHomeMoved(PendingRequest waiter, HomeMember peer, CallerReply reply) {
		return reply instanceof Refusal refusal && refusal.code() == ReplyCode.HOME_UNAVAILABLE
				&& keyOf(waiter.request()).flatMap((key) -> this.context.homes().home(Partitions.of(key)))
					.filter(peer::equals)
					.isEmpty();
	}

	void onCallerDisconnected(Requester requester) {
		this.heldRequests.remove(requester);
		this.forwards.remove(requester);
		this.context.waiters().remove(requester);
	}

	void onStoreUnavailable() {
		for (Partition partition : this.heldRequests.keys()) {
			if (!this.context.homes().isHome(partition)) {
				this.heldRequests.take(partition).forEach((waiter) -> hold(waiter, partition));
			}
		}
	}

	void expire() {
		for (PendingRequest waiter : this.context.waiters().expire(this.context.now())) {
			keyOf(waiter.request()).flatMap((key) -> this.context.jobs().find(key))
				.ifPresent((job) -> onWaitEnded(waiter, job));
		}
		this.heldRequests.expire(this.context.now())
			.forEach((waiter) -> refuseUnavailable(waiter, "the home of the job was not ready within the wait"));
		this.forwards.expire(this.context.now())
			.forEach((waiter) -> refuseUnavailable(waiter, "the home of the job did not reply within the wait"));
	}

	// An aborted job ends when the last of its running tasks has ended, at the
	// latest when an unreachable guard is found dead. The wait is extended once, so
	// that a caller that waits until the deadline receives the outcome.
	private void onWaitEnded(PendingRequest waiter, JobRecord job) {
		long untilNanos = waiter.outcomeDeadlineNanos() + ABORT_WAIT_MILLIS * NANOS_PER_MILLI;
		if (job.cause().isPresent() && untilNanos < waiter.homeDeadlineNanos()) {
			this.context.waiters()
				.add(job.key(), new PendingRequest(waiter.requester(), waiter.request(), waiter.arrivedNanos(),
						untilNanos, waiter.outcomeDeadlineNanos()));
		}
		else {
			this.context.reply(waiter.requester(), job.progress());
		}
	}

	int waitingCount() {
		return this.heldRequests.size() + this.forwards.size() + this.context.waiters().size();
	}

}
