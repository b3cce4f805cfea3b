package io.coriandermux.core.message;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Revision;

/**
 * Sent by both ends of a link at a fixed interval.
 *
 * @param clockNanos the sender's monotonic clock
 * @param echoNanos the peer's last clock reading that the sender received, 0 if none
 * @param echoed incarnation of the peer whose clock is echoed; monotonic clocks of
 * different processes cannot be compared
 * @param config revision of the configuration in force at the sender
 * @param homes revision of the home table in force at the sender
 */
public record Heartbeat(long clockNanos, long echoNanos, Incarnation echoed, Revision config,
		Revision homes) implements Message {

	/**
	 * Returns whether the sender has received a clock reading of a process.
	 * @param receiver incarnation of the process
	 * @return whether the echo is a reading of its clock
	 */
	public boolean isEchoOf(Incarnation receiver) {
		return this.echoNanos != 0 && this.echoed.equals(receiver);
	}

}
