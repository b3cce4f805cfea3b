package io.coriandermux.daemon.batch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.TablesOffer;
import io.coriandermux.core.message.TablesPull;
import io.coriandermux.core.message.TablesPush;
import io.coriandermux.wire.PeerName;

/**
 * Passes the configuration between entries, so that it also reaches those that the store
 * does not serve. An entry offers the version that it has; only an entry that the store
 * has not brought it to asks for the document, and asks one entry at a time. A document
 * of a thousand routes that every entry sends to all others would fill the links of small
 * entries for seconds. Used by the decision thread only.
 */
final class TablesExchange {

	/** The store's own change arrives within milliseconds, or 250 ms when it is slow. */
	private static final long GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** A document of 400 KB takes 250 ms on the smallest link of 13 Mbit/s. */
	private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	private final PeerName self;

	private final BiConsumer<PeerName, Message> sender;

	/** Entries with a newer version than this one, and that version. */
	private final Map<PeerName, Long> newer = new LinkedHashMap<>();

	private TablesPush inForce;

	private long dueNanos;

	private int asked;

	/**
	 * Creates the exchange of an entry without a configuration.
	 * @param self this entry
	 * @param sender sends a message to another entry
	 */
	TablesExchange(PeerName self, BiConsumer<PeerName, Message> sender) {
		this.self = self;
		this.sender = sender;
	}

	/**
	 * Takes note of a configuration that is in force now, and offers it.
	 * @param tables the configuration
	 * @param peers the entries that are linked
	 */
	void inForce(TablesPush tables, List<PeerName> peers) {
		this.inForce = tables;
		this.newer.values().removeIf((version) -> version <= tables.version());
		peers.forEach(this::offer);
	}

	void up(PeerName peer) {
		offer(peer);
	}

	void lost(PeerName peer) {
		this.newer.remove(peer);
	}

	/**
	 * Takes the offer of another entry.
	 * @param peer the entry
	 * @param version version that it has in force
	 * @param nowNanos the current time on the monotonic clock
	 */
	void offered(PeerName peer, long version, long nowNanos) {
		if (version <= version()) {
			return;
		}
		if (this.newer.isEmpty()) {
			this.dueNanos = nowNanos + GRACE_NANOS;
		}
		this.newer.put(peer, version);
	}

	/**
	 * Answers an entry that asks for the configuration.
	 * @param peer the entry
	 * @param version version that it has
	 */
	void asked(PeerName peer, long version) {
		Optional.ofNullable(this.inForce)
			.filter((tables) -> tables.version() > version)
			.ifPresent((tables) -> this.sender.accept(peer, tables));
	}

	/**
	 * Asks an entry for its newer configuration if the store has not brought it in time.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void tick(long nowNanos) {
		if (this.newer.isEmpty() || nowNanos < this.dueNanos) {
			return;
		}
		this.dueNanos = nowNanos + ANSWER_NANOS;
		long newest = this.newer.values().stream().mapToLong(Long::longValue).max().orElseThrow();
		List<PeerName> holders = new ArrayList<>(this.newer.keySet());
		holders.removeIf((peer) -> this.newer.get(peer) < newest);
		// Entries that ask at the same time begin with different ones.
		int index = Math.floorMod(this.self.id().hashCode() + this.asked, holders.size());
		this.asked++;
		this.sender.accept(holders.get(index), new TablesPull(version()));
	}

	private long version() {
		return (this.inForce != null) ? this.inForce.version() : 0;
	}

	private void offer(PeerName peer) {
		if (this.inForce != null) {
			this.sender.accept(peer, new TablesOffer(this.inForce.version()));
		}
	}

}
