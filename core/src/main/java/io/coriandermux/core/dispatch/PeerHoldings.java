package io.coriandermux.core.dispatch;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.run.BatchId;

/**
 * The batches that other entries have announced, and those of lost entries until their
 * runs have ended.
 */
final class PeerHoldings {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * A lease lasts at most this long after the last confirmation of the entry whose runs
	 * it covers, and an entry has ended when its next incarnation connects.
	 */
	private static final long PERMISSION_NANOS = 1_200 * NANOS_PER_MILLI;

	/**
	 * An entry is reported lost 1.2 s after its last message, and an idle link carries a
	 * message at least every 500 ms. An entry that has ended has therefore confirmed no
	 * session in the last 700 ms, and its permissions end 500 ms later.
	 */
	private static final long SILENT_ENTRY_NANOS = 500 * NANOS_PER_MILLI;

	private final Map<EntryIncarnation, Holding> holdings = new LinkedHashMap<>();

	/**
	 * Records that an entry is connected.
	 * @param peer the entry
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onConnected(EntryIncarnation peer, long nowNanos) {
		this.holdings.forEach((other, holding) -> {
			if (other.entry().equals(peer.entry()) && !other.equals(peer)) {
				holding.lose(nowNanos, SILENT_ENTRY_NANOS);
				holding.endNanos = Math.max(holding.endNanos, holding.lostNanos + PERMISSION_NANOS);
			}
		});
		this.holdings.computeIfAbsent(peer, (key) -> new Holding()).lost = false;
	}

	/**
	 * Records that an entry is lost. Its batches count as held until the permissions of
	 * their runs have ended, if it has ended; an entry that goes on without a link to
	 * this one can't be told from it.
	 * @param peer the entry
	 * @param nowNanos the current time on the monotonic clock
	 * @return the number of its batches
	 */
	int onLost(EntryIncarnation peer, long nowNanos) {
		Holding holding = this.holdings.get(peer);
		if (holding == null) {
			return 0;
		}
		holding.lose(nowNanos, SILENT_ENTRY_NANOS);
		return holding.batches.size();
	}

	/**
	 * Applies an announcement.
	 * @param peer the sender
	 * @param announcement the announcement
	 */
	void update(EntryIncarnation peer, HeldBatches announcement) {
		Holding holding = this.holdings.get(peer);
		if (holding == null || holding.lost) {
			return;
		}
		if (announcement.complete()) {
			holding.batches.clear();
		}
		announcement.ended().forEach(holding.batches::remove);
		announcement.held().forEach((held) -> holding.batches.add(held.batch()));
	}

	/**
	 * Records that a connected entry has a batch that it has not announced.
	 * @param peer the entry
	 * @param batch the batch
	 * @return whether the entry is connected
	 */
	boolean add(EntryIncarnation peer, BatchId batch) {
		Holding holding = this.holdings.get(peer);
		if (holding == null || holding.lost) {
			return false;
		}
		holding.batches.add(batch);
		return true;
	}

	/**
	 * Forgets the batches of lost entries whose permissions have ended.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void expire(long nowNanos) {
		this.holdings.values().removeIf((holding) -> holding.lost && nowNanos >= holding.endNanos);
	}

	boolean isHeldBy(EntryIncarnation peer, BatchId batch) {
		Holding holding = this.holdings.get(peer);
		return holding != null && holding.batches.contains(batch);
	}

	List<EntryIncarnation> holders(BatchId batch) {
		return this.holdings.keySet().stream().filter((peer) -> isHeldBy(peer, batch)).toList();
	}

	private static final class Holding {

		private final Set<BatchId> batches = new LinkedHashSet<>();

		private boolean lost;

		private long lostNanos;

		private long endNanos;

		void lose(long nowNanos, long untilEndNanos) {
			if (!this.lost) {
				this.lost = true;
				this.lostNanos = nowNanos;
				this.endNanos = nowNanos + untilEndNanos;
			}
		}

	}

}
