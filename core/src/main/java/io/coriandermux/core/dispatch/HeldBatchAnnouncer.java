package io.coriandermux.core.dispatch;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.HeldBatch;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.run.BatchId;

/**
 * Announces to the other entries which batches this entry has in progress. Batches that
 * end soon are not announced, because most do, and no caller can have come back to
 * another entry by then.
 */
final class HeldBatchAnnouncer {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * A caller comes back 1.3 s after it has given up. A batch is announced within this
	 * time plus an interval, which leaves 0.7 s for an entry that stands still.
	 */
	private static final long MIN_AGE_NANOS = 400 * NANOS_PER_MILLI;

	/**
	 * Bounds the messages of an entry to five per second and peer, since they grow with
	 * the product of the entries.
	 */
	private static final long INTERVAL_NANOS = 200 * NANOS_PER_MILLI;

	/**
	 * Ends are announced together with new batches, or after this time. An entry that
	 * takes an ended batch for held only asks once more than needed.
	 */
	private static final long MAX_END_DELAY_NANOS = 1_000 * NANOS_PER_MILLI;

	/**
	 * Bounds the memory that other entries need. An entry has fewer callers than this.
	 */
	private static final int MAX_ANNOUNCED = 16_384;

	/**
	 * Until then no other entry can have a batch. Its caller comes back 1.3 s after it
	 * has given up, and the age of a request is known to 0.3 s.
	 */
	private static final long MIN_RETURN_NANOS = 900 * NANOS_PER_MILLI;

	/**
	 * An entry without a link to any other may be cut off from them. Links are
	 * established again within a second after a partition, so an entry that is alone for
	 * longer than most partitions is taken for the only one.
	 */
	private static final long ISOLATION_NANOS = 10_000 * NANOS_PER_MILLI;

	/**
	 * A shorter standstill may delay an announcement that has not left the process, but
	 * it arrives before a caller can have come back. After 1.2 s another entry may also
	 * have forgotten what it had received.
	 */
	private static final long MAX_STANDSTILL_NANOS = 300 * NANOS_PER_MILLI;

	private final PeerChannel channel;

	private final Set<EntryId> peers = new LinkedHashSet<>();

	/** The announced batches with the time since which each is in progress. */
	private final Map<BatchId, Long> announced = new LinkedHashMap<>();

	/** The announced batches that no other entry could have had before it was told. */
	private final Set<BatchId> announcedInTime = new LinkedHashSet<>();

	/** The entries that wait for the end of a batch. */
	private final Map<BatchId, Set<EntryId>> releaseRequests = new LinkedHashMap<>();

	private long tickedNanos;

	private long checkedNanos;

	private long sentNanos;

	private boolean isolated;

	private long isolatedNanos;

	HeldBatchAnnouncer(PeerChannel channel) {
		this.channel = channel;
	}

	/**
	 * Sends all announced batches to an entry on a new link.
	 * @param peer the entry
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onConnected(EntryId peer, long nowNanos) {
		this.peers.add(peer);
		this.isolated = false;
		this.channel.send(peer, new HeldBatches(true, List.of(), ages(this.announced, nowNanos)));
	}

	/**
	 * Records that the link to an entry is lost. Without any link, this entry may be the
	 * one that is cut off, and the others forget what it has announced.
	 * @param peer the entry
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onLost(EntryId peer, long nowNanos) {
		if (this.peers.remove(peer) && this.peers.isEmpty()) {
			this.isolated = true;
			this.isolatedNanos = nowNanos;
			this.announcedInTime.clear();
		}
		this.releaseRequests.values().forEach((waiting) -> waiting.remove(peer));
		this.releaseRequests.values().removeIf(Set::isEmpty);
	}

	/**
	 * Returns whether a run of a batch may still start. An entry that stood still, or was
	 * cut off, has told the others too late that it has the batch, and the caller may
	 * have submitted it to one of them.
	 * @param batch the batch
	 * @param sinceNanos time since which the batch is in progress, on the monotonic clock
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether no other entry can have started the batch
	 */
	boolean mayStart(BatchId batch, long sinceNanos, long nowNanos) {
		return nowNanos - sinceNanos < MIN_RETURN_NANOS
				|| (this.announcedInTime.contains(batch) && nowNanos - this.tickedNanos < MAX_STANDSTILL_NANOS);
	}

	/**
	 * Records that this entry does not stand still. After a standstill the other entries
	 * may have forgotten what it has announced.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onTick(long nowNanos) {
		if (nowNanos - this.tickedNanos >= MAX_STANDSTILL_NANOS) {
			this.announcedInTime.clear();
		}
		this.tickedNanos = nowNanos;
	}

	/**
	 * Returns whether the batches have to be compared with those that are announced.
	 * @param nowNanos the current time on the monotonic clock
	 * @return whether to call {@link #announce}
	 */
	boolean isDue(long nowNanos) {
		return nowNanos - this.checkedNanos >= INTERVAL_NANOS;
	}

	/**
	 * Announces what has changed.
	 * @param held the batches in progress with the time since which each is in progress,
	 * on the monotonic clock
	 * @param nowNanos the current time on the monotonic clock
	 */
	void announce(Map<BatchId, Long> held, long nowNanos) {
		this.checkedNanos = nowNanos;
		Map<BatchId, Long> added = new LinkedHashMap<>();
		held.forEach((batch, sinceNanos) -> {
			if (nowNanos - sinceNanos >= MIN_AGE_NANOS && !this.announced.containsKey(batch)
					&& this.announced.size() + added.size() < MAX_ANNOUNCED) {
				added.put(batch, sinceNanos);
			}
		});
		if (added.isEmpty() && nowNanos - this.sentNanos < MAX_END_DELAY_NANOS) {
			return;
		}
		List<BatchId> ended = this.announced.keySet().stream().filter((batch) -> !held.containsKey(batch)).toList();
		ended.forEach(this.announced::remove);
		this.announcedInTime.removeAll(ended);
		this.announced.putAll(added);
		recordInTime(added, nowNanos);
		if (!added.isEmpty() || !ended.isEmpty()) {
			this.sentNanos = nowNanos;
			sendToAll(new HeldBatches(false, ended, ages(added, nowNanos)));
		}
	}

	private void recordInTime(Map<BatchId, Long> added, long nowNanos) {
		if (this.isolated && nowNanos - this.isolatedNanos < ISOLATION_NANOS) {
			return;
		}
		added.forEach((batch, sinceNanos) -> {
			if (nowNanos - sinceNanos < MIN_RETURN_NANOS) {
				this.announcedInTime.add(batch);
			}
		});
	}

	private static List<HeldBatch> ages(Map<BatchId, Long> batches, long nowNanos) {
		return batches.entrySet()
			.stream()
			.map((batch) -> new HeldBatch(batch.getKey(), (nowNanos - batch.getValue()) / NANOS_PER_MILLI))
			.toList();
	}

	/**
	 * Records that an entry waits for the end of a batch.
	 * @param peer the entry
	 * @param batch the batch
	 */
	void onReleaseRequested(EntryId peer, BatchId batch) {
		this.releaseRequests.computeIfAbsent(batch, (id) -> new LinkedHashSet<>()).add(peer);
	}

	/**
	 * Announces the end of a batch at once if another entry waits for it.
	 * @param batch the batch, which is not in progress
	 */
	void onEnded(BatchId batch) {
		if (this.releaseRequests.remove(batch) != null) {
			this.announced.remove(batch);
			this.announcedInTime.remove(batch);
			sendToAll(new HeldBatches(false, List.of(batch), List.of()));
		}
	}

	private void sendToAll(Message message) {
		this.peers.forEach((peer) -> this.channel.send(peer, message));
	}

}
