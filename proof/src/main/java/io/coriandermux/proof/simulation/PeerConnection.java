package io.coriandermux.proof.simulation;

import io.coriandermux.core.id.Incarnation;

/**
 * An entry's connection state for one peer: the link and the time of the last message.
 * The opener marks a connection as down when no message arrives within a timeout and
 * opens a new one; if that fails for the same time again, the peer is dead. The acceptor
 * considers a peer dead when no message arrives within a longer timeout.
 */
final class PeerConnection {

	private static final long SILENCE_TIMEOUT_NANOS = 1_500_000_000;

	private static final long CONNECT_INTERVAL_NANOS = 500_000_000;

	private final Link link;

	private final boolean opener;

	private long incarnation;

	private boolean up;

	private boolean lost = true;

	private long lastReceivedAt;

	private long downSince;

	private long connectAttemptAt;

	private long peerClockNanos;

	PeerConnection(Link link, boolean opener) {
		this.link = link;
		this.opener = opener;
	}

	Link link() {
		return this.link;
	}

	Incarnation incarnation() {
		return new Incarnation(this.incarnation);
	}

	// Returns whether a new incarnation replaces one whose loss was not yet reported.
	boolean isSuperseded(long newIncarnation) {
		return !this.lost && this.incarnation != newIncarnation;
	}

	void onConnected(long newIncarnation, long now) {
		this.incarnation = newIncarnation;
		this.up = true;
		this.lost = false;
		this.lastReceivedAt = now;
		this.peerClockNanos = 0;
	}

	// Returns the last clock reading received on this connection, 0 if none.
	long peerClockNanos() {
		return this.peerClockNanos;
	}

	void recordPeerClock(long nanos) {
		this.peerClockNanos = nanos;
	}

	void recordReceipt(long now) {
		this.lastReceivedAt = now;
	}

	boolean isLost() {
		return this.lost;
	}

	void markLost() {
		this.lost = true;
		this.up = false;
	}

	// Marks the connection as down if no messages arrive; returns whether the peer is
	// dead.
	boolean detectLoss(long now) {
		if (this.lost) {
			return false;
		}
		if (!this.opener) {
			return now - this.lastReceivedAt > Simulation.PEER_TIMEOUT_NANOS;
		}
		if (this.up && now - this.lastReceivedAt > SILENCE_TIMEOUT_NANOS) {
			this.up = false;
			this.downSince = now;
			this.connectAttemptAt = 0;
		}
		return !this.up && now - this.downSince > SILENCE_TIMEOUT_NANOS;
	}

	// Returns whether to connect now, at most once per interval.
	boolean startConnectAttempt(long now) {
		if (!this.opener || this.up
				|| (this.connectAttemptAt != 0 && now - this.connectAttemptAt < CONNECT_INTERVAL_NANOS)) {
			return false;
		}
		this.connectAttemptAt = now;
		return true;
	}

}
