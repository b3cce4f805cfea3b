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
 * Replicates the configuration between entries, so that it also reaches entries that
 * cannot read it from the store. An entry offers its version; an entry that has not
 * received that version from the store in time requests the document, from one entry at a
 * time. If every entry sent a document of a thousand routes to all others, the links of
 * small entries would be saturated for seconds. Used by the decision thread only.
 */
final class TablesExchange {

	/** The store delivers a change within milliseconds, or within 250 ms when slow. */
	private static final long STORE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** A document of 400 KB takes 250 ms on the slowest link of 13 Mbit/s. */
	private static final long PULL_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

	private final PeerName self;

	private final BiConsumer<PeerName, Message> sender;

	/** Entries that offer a newer version than this entry has, with that version. */
	private final Map<PeerName, Long> newerVersions = new LinkedHashMap<>();

	private TablesPush current;

	private long nextPullNanos;

	private int pullCount;

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
	 * Records the configuration that is now in force and offers it to other entries.
	 * @param tables the configuration
	 * @param peers the connected entries
	 */
	void onTablesApplied(TablesPush tables, List<PeerName> peers) {
		this.current = tables;
		this.newerVersions.values().removeIf((version) -> version <= tables.version());
		peers.forEach(this::sendOffer);
	}

	void onEntryConnected(PeerName peer) {
		sendOffer(peer);
	}

	void onEntryLost(PeerName peer) {
		this.newerVersions.remove(peer);
	}

	/**
	 * Handles the offer of another entry.
	 * @param peer the entry
	 * @param version version in force at that entry
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onOffer(PeerName peer, long version, long nowNanos) {
		if (version <= currentVersion()) {
			return;
		}
		if (this.newerVersions.isEmpty()) {
			this.nextPullNanos = nowNanos + STORE_GRACE_NANOS;
		}
		this.newerVersions.put(peer, version);
	}

	/**
	 * Sends the configuration to an entry that requests a newer one.
	 * @param peer the entry
	 * @param version version in force at that entry, 0 if none
	 */
	void onPull(PeerName peer, long version) {
		Optional.ofNullable(this.current)
			.filter((tables) -> tables.version() > version)
			.ifPresent((tables) -> this.sender.accept(peer, tables));
	}

	/**
	 * Requests a newer configuration from an entry that offers it, if the store has not
	 * delivered it in time.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void tick(long nowNanos) {
		if (this.newerVersions.isEmpty() || nowNanos < this.nextPullNanos) {
			return;
		}
		this.nextPullNanos = nowNanos + PULL_TIMEOUT_NANOS;
		long newest = this.newerVersions.values().stream().mapToLong(Long::longValue).max().orElseThrow();
		List<PeerName> candidates = new ArrayList<>(this.newerVersions.keySet());
		candidates.removeIf((peer) -> this.newerVersions.get(peer) < newest);
		// Entries that send requests at the same time start with different peers.
		int index = Math.floorMod(this.self.id().hashCode() + this.pullCount, candidates.size());
		this.pullCount++;
		this.sender.accept(candidates.get(index), new TablesPull(currentVersion()));
	}

	private long currentVersion() {
		return (this.current != null) ? this.current.version() : 0;
	}

	private void sendOffer(PeerName peer) {
		if (this.current != null) {
			this.sender.accept(peer, new TablesOffer(this.current.version()));
		}
	}

}
