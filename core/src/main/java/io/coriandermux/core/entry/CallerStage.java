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
import io.coriandermux.core.reply.Requester;
import io.coriandermux.core.reply.Waiter;
import io.coriandermux.core.reply.Waiters;
import io.coriandermux.core.route.Forwards;

/**
 * Passes each request to the home of its job: to this entry, or in one hop to another. A
 * request whose home cannot be told yet waits.
 */
final class CallerStage {

	/** Time allowed for the home's reply beyond the caller's wait. */
	private static final long DECIDE_MILLIS = 1_000;

	/** Time allowed for the end of a job that is being aborted. */
	private static final long END_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long RETRY_AFTER_MILLIS = 500;

	private final EntryContext context;

	private final PeerStage peers;

	private final HomeStage homes;

	private final JobStage jobs;

	private final Supplier<String> timeOrderedUuids;

	private final Forwards forwards;

	private final Waiters<Partition> held = new Waiters<>(Waiter::decideByNanos);

	private int issued;

	CallerStage(EntryContext context, PeerStage peers, HomeStage homes, JobStage jobs,
			Supplier<String> timeOrderedUuids) {
		this.context = context;
		this.forwards = new Forwards(context.settings().self().incarnation().firstNumber());
		this.peers = peers;
		this.homes = homes;
		this.jobs = jobs;
		this.timeOrderedUuids = timeOrderedUuids;
	}

	void request(Requester requester, CallerRequest request) {
		long wait = 0;
		if (request instanceof SubmitJob submit) {
			wait = Math.max(0, submit.waitMillis());
		}
		else if (request instanceof FetchJob fetch) {
			wait = Math.max(0, fetch.waitMillis());
		}
		else if (request instanceof CancelJob) {
			wait = DECIDE_MILLIS;
		}
		long until = this.context.nanosIn(wait);
		Waiter waiter = new Waiter(requester, request, this.context.now().nanos(), until,
				this.context.nanosIn(wait + DECIDE_MILLIS));
		if (waiting() >= this.context.settings().maxJobs()) {
			this.context.refuse(requester, Outcome.UNDECIDED, ReplyCode.ENTRY_FULL, "too many requests wait",
					RETRY_AFTER_MILLIS);
			return;
		}
		dispatch(waiter);
	}

	static Optional<JobKey> key(CallerRequest request) {
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

	private void dispatch(Waiter waiter) {
		Optional<JobKey> key = key(waiter.request());
		if (key.isEmpty()) {
			reserve(waiter);
			return;
		}
		Partition partition = Partitions.of(key.get());
		if (!isTableKnown(partition, key.get())) {
			hold(waiter, partition);
		}
		else if (this.context.homes().isOwn(partition)) {
			if (this.homes.isReleasing(partition) || !this.jobs.decide(waiter, key.get(), partition)) {
				this.held.add(partition, waiter);
			}
		}
		else {
			forward(waiter, partition);
		}
	}

	// An issued id with a higher epoch than the table's, or a guard's higher epoch, shows
	// that the table in force is not the newest.
	private boolean isTableKnown(Partition partition, JobKey key) {
		Epoch epoch = this.context.homes().epoch(partition);
		boolean ahead = new JobId(key.job()).issuedBy()
			.map(PartitionEpoch::epoch)
			.filter((issuing) -> issuing.compareTo(epoch) > 0)
			.isPresent();
		return !ahead && !this.context.homes().isOutdated(partition);
	}

	private void forward(Waiter waiter, Partition partition) {
		Optional<EntryId> peer = waiter.requester().peer();
		Optional<HomeMember> home = this.context.homes().home(partition).filter(this.peers::isLinked);
		if (peer.isPresent() && !this.peers.hasNewerHomes(peer.get())) {
			unavailable(waiter, "the request was forwarded to an entry that is not the home of the job");
		}
		else if (peer.isPresent() || home.isEmpty()) {
			hold(waiter, partition);
		}
		else {
			this.context.send(home.get().entry(), this.forwards.add(waiter, home.get()));
		}
	}

	// During a store outage no take-over can end the wait.
	private void hold(Waiter waiter, Partition partition) {
		if (this.homes.isStoreDown() && !this.context.homes().isOwn(partition)) {
			unavailable(waiter, "the home of the job cannot be reached and the store is not available");
			return;
		}
		this.held.add(partition, waiter);
	}

	private void unavailable(Waiter waiter, String reason) {
		this.context.refuse(waiter.requester(), Outcome.UNDECIDED, ReplyCode.HOME_UNAVAILABLE, reason,
				RETRY_AFTER_MILLIS);
	}

	private void reserve(Waiter waiter) {
		int[] own = this.context.homes().own().stream().toArray();
		for (int tried = 0; tried < Partition.COUNT; tried++) {
			int next = Math.floorMod(this.issued++, Partition.COUNT);
			Partition partition = new Partition((own.length > 0) ? own[next % own.length] : next);
			boolean live = this.context.homes().home(partition).filter((home) -> isServing(home)).isPresent();
			if (live && !this.context.homes().isOutdated(partition)) {
				this.context.reply(waiter.requester(), new JobIdReserved(
						JobId.issued(partition, this.context.homes().epoch(partition), this.timeOrderedUuids.get())));
				return;
			}
		}
		unavailable(waiter, "no partition has a live home");
	}

	private boolean isServing(HomeMember home) {
		return home.equals(this.peers.self()) || this.peers.isLinked(home);
	}

	// Decides again on requests that waited for a home.
	void again(BitSet partitions) {
		for (Partition partition : this.held.keys()) {
			if (partitions.get(partition.number())) {
				this.held.take(partition).forEach(this::dispatch);
			}
		}
	}

	void again(Waiter waiter) {
		dispatch(waiter);
	}

	void linked(HomeMember peer) {
		this.forwards.to(peer).forEach((forward) -> this.context.send(peer.entry(), forward));
	}

	void lost(HomeMember peer) {
		this.held.removeIf((requester) -> requester.peer().filter(peer.entry()::equals).isPresent());
		this.context.waiters().removeIf((requester) -> requester.peer().filter(peer.entry()::equals).isPresent());
		this.forwards.take(peer).forEach(this::dispatch);
	}

	void answered(HomeMember peer, ForwardAnswer answer) {
		Optional<Waiter> waiter = this.forwards.answered(answer.correlation(), peer);
		if (waiter.isEmpty()) {
			this.context.notice(NoticeKind.MESSAGE_DROPPED, peer.entry().value(),
					"no request has correlation " + answer.correlation());
			return;
		}
		if (isMoved(waiter.get(), peer, answer.reply())) {
			dispatch(waiter.get());
			return;
		}
		this.context.reply(waiter.get().requester(), answer.reply());
	}

	// The home table has changed since the request was passed on.
	private boolean isMoved(Waiter waiter, HomeMember peer, CallerReply reply) {
		return reply instanceof Refusal refusal && refusal.code() == ReplyCode.HOME_UNAVAILABLE
				&& key(waiter.request()).flatMap((key) -> this.context.homes().home(Partitions.of(key)))
					.filter(peer::equals)
					.isEmpty();
	}

	void gone(Requester requester) {
		this.held.remove(requester);
		this.forwards.remove(requester);
		this.context.waiters().remove(requester);
	}

	void storeFailed() {
		for (Partition partition : this.held.keys()) {
			if (!this.context.homes().isOwn(partition)) {
				this.held.take(partition).forEach((waiter) -> hold(waiter, partition));
			}
		}
	}

	void expire() {
		for (Waiter waiter : this.context.waiters().expire(this.context.now())) {
			key(waiter.request()).flatMap((key) -> this.context.jobs().find(key))
				.ifPresent((job) -> waitEnded(waiter, job));
		}
		this.held.expire(this.context.now())
			.forEach((waiter) -> unavailable(waiter, "the home of the job was not ready within the wait"));
		this.forwards.expire(this.context.now())
			.forEach((waiter) -> unavailable(waiter, "the home of the job did not reply within the wait"));
	}

	// The job ends as soon as its running tasks are aborted, at the latest when a silent
	// guard is found dead; a caller that waits until the deadline is to see it end.
	private void waitEnded(Waiter waiter, JobRecord job) {
		long until = waiter.untilNanos() + END_MILLIS * NANOS_PER_MILLI;
		if (job.cause().isPresent() && until < waiter.decideByNanos()) {
			this.context.waiters()
				.add(job.key(), new Waiter(waiter.requester(), waiter.request(), waiter.arrivedNanos(), until,
						waiter.untilNanos()));
		}
		else {
			this.context.reply(waiter.requester(), job.progress());
		}
	}

	int waiting() {
		return this.held.size() + this.forwards.size() + this.context.waiters().size();
	}

}
