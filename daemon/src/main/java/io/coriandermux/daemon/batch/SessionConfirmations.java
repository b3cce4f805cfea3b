package io.coriandermux.daemon.batch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.coriandermux.core.message.SessionPing;
import io.coriandermux.wire.PeerIdentity;

/**
 * Decides when an entry confirms its sessions at guards. The thread that reads the
 * connections of the callers may stand still while the thread of the links confirms the
 * sessions. The runs of a caller that has disconnected would then continue while it
 * submits its batch to another entry. A ping is therefore held back until the connections
 * of all waiting callers were read recently. Used by the decision thread only.
 */
final class SessionConfirmations {

	/**
	 * A session ends 900 ms after the last ping that is confirmed, so the runs of a
	 * disconnected caller are stopped after 1 s, and the caller submits its batch again
	 * after 1.3 s. A shorter time causes more checks.
	 */
	private static final long MAX_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

	private final CallerCheck check;

	private final BiConsumer<PeerIdentity, SessionPing> confirm;

	/** The last ping of each guard that is not confirmed yet. */
	private final Map<PeerIdentity, SessionPing> held = new LinkedHashMap<>();

	private boolean checking;

	private boolean checked;

	private long checkedNanos;

	/**
	 * Creates an instance without a completed check.
	 * @param check checks the callers; calls back on the decision thread
	 * @param confirm confirms a ping
	 */
	SessionConfirmations(CallerCheck check, BiConsumer<PeerIdentity, SessionPing> confirm) {
		this.check = check;
		this.confirm = confirm;
	}

	/**
	 * Confirms a ping, or holds it back until the callers are checked.
	 * @param guard the sender
	 * @param ping the ping
	 * @param callersWait whether any caller waits for an answer
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onPing(PeerIdentity guard, SessionPing ping, boolean callersWait, long nowNanos) {
		if (!callersWait || (this.checked && nowNanos - this.checkedNanos <= MAX_CHECK_AGE_NANOS)) {
			this.confirm.accept(guard, ping);
			return;
		}
		this.held.put(guard, ping);
		if (!this.checking) {
			this.checking = true;
			this.check.check(() -> onChecked(nowNanos));
		}
	}

	// The check covers the disconnects before its start.
	private void onChecked(long startedNanos) {
		this.checking = false;
		this.checked = true;
		this.checkedNanos = startedNanos;
		Map<PeerIdentity, SessionPing> pings = new LinkedHashMap<>(this.held);
		this.held.clear();
		pings.forEach(this.confirm);
	}

}
