package io.coriandermux.wire;

import java.net.InetSocketAddress;
import java.util.Optional;

/**
 * State of the link to one peer, which outlives its connections. Not thread-safe: used by
 * the link thread only.
 */
final class PeerLink {

	private static final int MAX_BACKOFF_DOUBLINGS = 10;

	private final PeerName name;

	private InetSocketAddress address;

	private Connection current;

	private Connection attempt;

	private PeerIdentity reportedIdentity;

	private long lastActivityNanos;

	private long lastAttemptNanos;

	private int failedAttempts;

	PeerLink(PeerName name, long nowNanos, long retryNanos) {
		this.name = name;
		this.lastActivityNanos = nowNanos;
		this.lastAttemptNanos = nowNanos - retryNanos;
	}

	PeerName name() {
		return this.name;
	}

	Optional<InetSocketAddress> address() {
		return Optional.ofNullable(this.address);
	}

	void address(InetSocketAddress value) {
		this.address = value;
	}

	Optional<Connection> current() {
		return Optional.ofNullable(this.current);
	}

	void current(Connection connection) {
		this.current = connection;
	}

	Optional<Connection> attempt() {
		return Optional.ofNullable(this.attempt);
	}

	void attempt(Connection connection, long nowNanos) {
		this.attempt = connection;
		this.lastAttemptNanos = nowNanos;
	}

	void onEstablished(Connection connection) {
		this.attempt = null;
		this.current = connection;
		this.failedAttempts = 0;
	}

	void onClosed(Connection connection) {
		if (this.current == connection) {
			this.current = null;
		}
		if (this.attempt == connection) {
			this.attempt = null;
			this.failedAttempts++;
		}
	}

	Optional<PeerIdentity> reportedIdentity() {
		return Optional.ofNullable(this.reportedIdentity);
	}

	void reportedIdentity(PeerIdentity identity) {
		this.reportedIdentity = identity;
	}

	void recordActivity(long nowNanos) {
		this.lastActivityNanos = nowNanos;
	}

	/**
	 * Returns whether a new connection must be opened now: there is none, or the current
	 * one has been silent for too long, and the reconnect delay has elapsed.
	 * @param nowNanos reading of the monotonic clock in nanoseconds
	 * @param settings intervals
	 * @return whether a connection attempt is due
	 */
	boolean isConnectDue(long nowNanos, LinkSettings settings) {
		if (this.address == null || this.attempt != null) {
			return false;
		}
		if (nowNanos - this.lastAttemptNanos < reconnectDelayNanos(settings)) {
			return false;
		}
		return this.current == null || nowNanos - this.current.lastActivityNanos() >= settings.silenceTimeoutNanos();
	}

	// Exponential backoff for an unreachable process. The delay is capped below the
	// timeout after which the process is reported lost, so at least one attempt is made
	// before that.
	private long reconnectDelayNanos(LinkSettings settings) {
		int doublings = Math.min(this.failedAttempts / 2, MAX_BACKOFF_DOUBLINGS);
		return Math.min(settings.reconnectIntervalNanos() << doublings, settings.handshakeTimeoutNanos());
	}

	/**
	 * Returns whether the process must be reported lost: nothing was received for the
	 * time after which a silent connection is replaced plus the time that the new
	 * connection has for its handshake.
	 * @param nowNanos reading of the monotonic clock in nanoseconds
	 * @param settings intervals
	 * @return whether the process is lost
	 */
	boolean isLost(long nowNanos, LinkSettings settings) {
		return this.reportedIdentity != null && nowNanos - this.lastActivityNanos >= settings.silenceTimeoutNanos()
				+ settings.handshakeTimeoutNanos();
	}

}
