package io.coriandermux.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;

/**
 * Hands batches over between entries. A caller may come back to another entry while the
 * first one takes it for connected. An entry therefore announces its batches to the
 * others, and an entry that receives an announced batch has it released before it places
 * it.
 */
final class BatchHandover {

	private final WaitingRequests waiting = new WaitingRequests();

	private final PeerHoldings holdings = new PeerHoldings();

	private final HeldBatchAnnouncer announcer;

	private final PeerChannel channel;

	private final Consumer<Notice> notices;

	private final Predicate<BatchId> heldHere;

	/**
	 * Creates an instance without connected entries.
	 * @param channels sends messages to other entries and notices
	 * @param heldHere returns whether this entry has a batch in progress or runs of it
	 * that have not ended
	 */
	BatchHandover(DispatchChannels channels, Predicate<BatchId> heldHere) {
		this.channel = channels.peers();
		this.notices = channels.notices();
		this.heldHere = heldHere;
		this.announcer = new HeldBatchAnnouncer(channels.peers());
	}

	WaitingRequests waiting() {
		return this.waiting;
	}

	boolean isHeldElsewhere(BatchId batch) {
		return !this.holdings.holders(batch).isEmpty();
	}

	/**
	 * Returns whether a run of a batch may still start at this entry.
	 * @param batch the batch
	 * @param now the current time
	 * @return whether no other entry can have started the batch
	 */
	boolean mayStart(Batch batch, Moment now) {
		return this.announcer.mayStart(batch.id(), batch.sentNanos(), now.nanos());
	}

	/**
	 * Returns whether a batch may still start at this entry.
	 * @param request the request for it
	 * @param now the current time
	 * @return whether no other entry can have started the batch
	 */
	boolean mayStart(CallerRequest request, Moment now) {
		return this.announcer.mayStart(request.id(), request.sentNanos(), now.nanos());
	}

	/**
	 * Requests another entry to give up a batch that both have in progress.
	 * @param peer the entry
	 * @param batch the batch
	 */
	void requestRelease(EntryId peer, BatchId batch) {
		this.channel.send(peer, new ReleaseBatch(batch));
	}

	/**
	 * Lets a request wait until all runs of its batch have ended, at this entry and at
	 * those that have announced it, and requests these to give it up.
	 * @param request the request
	 */
	void defer(CallerRequest request) {
		List<EntryIncarnation> holders = this.holdings.holders(request.id());
		this.waiting.add(request, holders);
		if (holders.isEmpty()) {
			return;
		}
		sendNotice(NoticeKind.BATCH_HELD_ELSEWHERE, request.id(),
				"waits for " + holders.stream().map((peer) -> peer.entry().value()).collect(Collectors.joining(", ")));
		holders.forEach((peer) -> this.channel.send(peer.entry(), new ReleaseBatch(request.id())));
	}

	/**
	 * Lets requests wait for the entry that has claimed their batch.
	 * @param requests the requests for the batch
	 * @param claim the claim of the other entry
	 * @return whether that entry is connected, so that it can be requested to give the
	 * batch up
	 */
	boolean deferTo(List<CallerRequest> requests, BatchClaim claim) {
		BatchId batch = requests.get(0).id();
		if (!this.holdings.add(claim.entry(), batch)) {
			return false;
		}
		requests.forEach(this::defer);
		this.waiting.recordClaim(batch, claim);
		return true;
	}

	/**
	 * Removes the requests that wait for nothing any more.
	 * @return the removed requests, which are to be served
	 */
	List<CallerRequest> removeReady() {
		return this.waiting.isEmpty() ? List.of() : this.waiting.removeReady(this.heldHere, this.holdings::isHeldBy);
	}

	void onConnected(EntryIncarnation peer, Moment now) {
		this.holdings.onConnected(peer, now.nanos());
		this.announcer.onConnected(peer.entry(), now.nanos());
	}

	void onLost(EntryIncarnation peer, Moment now) {
		this.announcer.onLost(peer.entry(), now.nanos());
		int batches = this.holdings.onLost(peer, now.nanos());
		if (batches > 0) {
			this.notices.accept(new Notice(NoticeKind.HOLDER_LOST, peer.entry().value(),
					batches + " batches count as held until the permissions of its runs have ended"));
		}
	}

	/**
	 * Applies the announcement of another entry.
	 * @param peer the entry
	 * @param announcement the announcement
	 */
	void onHeldBatches(EntryIncarnation peer, HeldBatches announcement) {
		this.holdings.update(peer, announcement);
		announcement.ended().forEach((batch) -> this.waiting.onReleased(peer, batch));
		if (announcement.complete()) {
			// The request may have been lost with the previous link.
			this.waiting.waitingFor(peer)
				.stream()
				.filter((batch) -> this.holdings.isHeldBy(peer, batch))
				.forEach((batch) -> this.channel.send(peer.entry(), new ReleaseBatch(batch)));
		}
	}

	/**
	 * Records that another entry waits for the end of a batch.
	 * @param peer the entry
	 * @param batch the batch
	 */
	void onReleaseRequested(EntryId peer, BatchId batch) {
		this.announcer.onReleaseRequested(peer, batch);
		confirmEnd(batch);
	}

	/**
	 * Announces the end of a batch that other entries wait for, if it has ended.
	 * @param batch the batch
	 */
	void confirmEnd(BatchId batch) {
		if (!this.heldHere.test(batch) && !this.waiting.contains(batch)) {
			this.announcer.onEnded(batch);
		}
	}

	/**
	 * Forgets the batches of lost entries whose runs have ended, and announces changes.
	 * @param held returns the batches in progress with the time since which each is in
	 * progress, on the monotonic clock
	 * @param now the current time
	 */
	void tick(Supplier<Map<BatchId, Long>> held, Moment now) {
		this.holdings.expire(now.nanos());
		this.announcer.onTick(now.nanos());
		if (this.announcer.isDue(now.nanos())) {
			Map<BatchId, Long> batches = new LinkedHashMap<>(held.get());
			batches.putAll(this.waiting.sentNanos());
			this.announcer.announce(batches, now.nanos());
		}
	}

	private void sendNotice(NoticeKind kind, BatchId batch, String detail) {
		this.notices.accept(new Notice(kind, batch.value(), detail));
	}

}
