package io.coriandermux.core.message;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Revision;

/**
 * A message that both ends of a link send at a fixed interval.
 *
 * @param clockNanos the sender's monotonic clock in nanoseconds
 * @param echoNanos the last clock reading that the sender received from the peer, 0 if
 * none
 * @param echoedIncarnation incarnation of the peer that sent the echoed reading; readings
 * of monotonic clocks of different processes cannot be compared
 * @param configRevision revision of the configuration in force at the sender
 * @param homesRevision revision of the home table in force at the sender
 */
public record Heartbeat(long clockNanos, long echoNanos, Incarnation echoedIncarnation, Revision configRevision,
		Revision homesRevision) implements Message {

	/**
	 * Returns whether this heartbeat echoes a clock reading of a process.
	 * @param receiver incarnation of the process
	 * @return whether the echoed reading comes from its clock
	 */
	public boolean isEchoOf(Incarnation receiver) {
		return this.echoNanos != 0 && this.echoedIncarnation.equals(receiver);
	}

}
