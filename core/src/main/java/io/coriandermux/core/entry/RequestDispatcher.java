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

	private final PendingForwards pendingForwards;

	private final PendingRequests<Partition> heldRequests = new PendingRequests<>(PendingRequest::homeDeadlineNanos);

	private int reserveCursor;

	RequestDispatcher(EntryContext context, PeerRegistry peers, HomeTableManager homes, JobRequestHandler jobRequests,
			Supplier<String> timeOrderedUuids) {
		this.context = context;
		this.pendingForwards = new PendingForwards(context.settings().self().incarnation().sequenceBase());
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
		PendingRequest pendingRequest = new PendingRequest(requester, request, this.context.now().nanos(), untilNanos,
				this.context.nanosAfter(waitMillis + REPLY_MARGIN_MILLIS));
		if (waitingCount() >= this.context.settings().maxJobs()) {
			this.context.refuse(requester, Outcome.UNDECIDED, ReplyCode.ENTRY_FULL, "too many requests wait",
					RETRY_AFTER_MILLIS);
			return;
		}
		dispatch(pendingRequest);
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

	private void dispatch(PendingRequest pendingRequest) {
		Optional<JobKey> key = keyOf(pendingRequest.request());
		if (key.isEmpty()) {
			reserveId(pendingRequest);
			return;
		}
		Partition partition = Partitions.of(key.get());
		if (!isTableCurrent(partition, key.get())) {
			hold(pendingRequest, partition);
		}
		else if (this.context.homes().isHome(partition)) {
			if (this.homes.isHandingOver(partition)
					|| !this.jobRequests.tryHandle(pendingRequest, key.get(), partition)) {
				this.heldRequests.add(partition, pendingRequest);
			}
		}
		else {
			forward(pendingRequest, partition);
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

	private void forward(PendingRequest pendingRequest, Partition partition) {
		Optional<EntryId> peer = pendingRequest.requester().peer();
		Optional<HomeMember> home = this.context.homes().home(partition).filter(this.peers::isLinked);
		if (peer.isPresent() && !this.peers.hasNewerHomes(peer.get())) {
			refuseUnavailable(pendingRequest, "the request was forwarded to an entry that is not the home of the job");
		}
		else if (peer.isPresent() || home.isEmpty()) {
			hold(pendingRequest, partition);
		}
		else {
			this.context.send(home.get().entry(), this.pendingForwards.add(pendingRequest, home.get()));
		}
	}

	// During a store outage a request for another home is refused at once, since no
	// take-over can end its wait.
	private void hold(PendingRequest pendingRequest, Partition partition) {
		if (this.homes.isStoreDown() && !this.context.homes().isHome(partition)) {
			refuseUnavailable(pendingRequest, "the home of the job cannot be reached and the store is not available");
			return;
		}
		this.heldRequests.add(partition, pendingRequest);
	}

	private void refuseUnavailable(PendingRequest pendingRequest, String reason) {
		this.context.refuse(pendingRequest.requester(), Outcome.UNDECIDED, ReplyCode.HOME_UNAVAILABLE, reason,
				RETRY_AFTER_MILLIS);
	}

	private void reserveId(PendingRequest pendingRequest) {
		int[] own = this.context.homes().ownPartitions().stream().toArray();
		for (int attempt = 0; attempt < Partition.COUNT; attempt++) {
			int next = Math.floorMod(this.reserveCursor++, Partition.COUNT);
			Partition partition = new Partition((own.length > 0) ? own[next % own.length] : next);
			boolean live = this.context.homes().home(partition).filter((home) -> isLive(home)).isPresent();
			if (live && !this.context.homes().isStale(partition)) {
				this.context.reply(pendingRequest.requester(), new JobIdReserved(
						JobId.issue(partition, this.context.homes().epoch(partition), this.timeOrderedUuids.get())));
				return;
			}
		}
		refuseUnavailable(pendingRequest, "no partition has a live home");
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

	void retry(PendingRequest pendingRequest) {
		dispatch(pendingRequest);
	}

	void onPeerConnected(HomeMember peer) {
		this.pendingForwards.pendingFor(peer).forEach((forward) -> this.context.send(peer.entry(), forward));
	}

	void onPeerLost(HomeMember peer) {
		this.heldRequests.removeIf((requester) -> requester.peer().filter(peer.entry()::equals).isPresent());
		this.context.pendingRequests()
			.removeIf((requester) -> requester.peer().filter(peer.entry()::equals).isPresent());
		this.pendingForwards.takeAllFor(peer).forEach(this::dispatch);
	}

	void onForwardAnswer(HomeMember peer, ForwardAnswer answer) {
		Optional<PendingRequest> pendingRequest = this.pendingForwards.takeAnswered(answer.correlation(), peer);
		if (pendingRequest.isEmpty()) {
			this.context.publishNotice(NoticeKind.MESSAGE_DROPPED, peer.entry().value(),
					"no request has correlation " + answer.correlation());
			return;
		}
		if (hasHomeMoved(pendingRequest.get(), peer, answer.reply())) {
			dispatch(pendingRequest.get());
			return;
		}
		this.context.reply(pendingRequest.get().requester(), answer.reply());
	}

	// Whether the request was refused as unavailable by an entry that is no longer the
	// home of the job.
	private boolean hasHomeMoved(PendingRequest pendingRequest, HomeMember peer, CallerReply reply) {
		return reply instanceof Refusal refusal && refusal.code() == ReplyCode.HOME_UNAVAILABLE
				&& keyOf(pendingRequest.request()).flatMap((key) -> this.context.homes().home(Partitions.of(key)))
					.filter(peer::equals)
					.isEmpty();
	}

	void onCallerDisconnected(Requester requester) {
		this.heldRequests.remove(requester);
		this.pendingForwards.remove(requester);
		this.context.pendingRequests().remove(requester);
	}

	void onStoreUnavailable() {
		for (Partition partition : this.heldRequests.keys()) {
			if (!this.context.homes().isHome(partition)) {
				this.heldRequests.take(partition).forEach((pendingRequest) -> hold(pendingRequest, partition));
			}
		}
	}

	void expire() {
		for (PendingRequest pendingRequest : this.context.pendingRequests().expire(this.context.now())) {
			keyOf(pendingRequest.request()).flatMap((key) -> this.context.jobs().find(key))
				.ifPresent((job) -> onWaitEnded(pendingRequest, job));
		}
		this.heldRequests.expire(this.context.now())
			.forEach((pendingRequest) -> refuseUnavailable(pendingRequest,
					"the home of the job was not ready within the wait"));
		this.pendingForwards.expire(this.context.now())
			.forEach((pendingRequest) -> refuseUnavailable(pendingRequest,
					"the home of the job did not reply within the wait"));
	}

	// An aborted job ends when the last of its running tasks has ended, at the
	// latest when an unreachable guard is found dead. The wait is extended once, so
	// that a caller that waits until the deadline receives the outcome.
	private void onWaitEnded(PendingRequest pendingRequest, JobRecord job) {
		long untilNanos = pendingRequest.outcomeDeadlineNanos() + ABORT_WAIT_MILLIS * NANOS_PER_MILLI;
		if (job.cause().isPresent() && untilNanos < pendingRequest.homeDeadlineNanos()) {
			this.context.pendingRequests()
				.add(job.key(), new PendingRequest(pendingRequest.requester(), pendingRequest.request(),
						pendingRequest.arrivedNanos(), untilNanos, pendingRequest.outcomeDeadlineNanos()));
		}
		else {
			this.context.reply(pendingRequest.requester(), job.progress());
		}
	}

	int waitingCount() {
		return this.heldRequests.size() + this.pendingForwards.size() + this.context.pendingRequests().size();
	}

}
