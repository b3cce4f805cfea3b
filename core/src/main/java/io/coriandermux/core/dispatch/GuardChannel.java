package io.coriandermux.core.dispatch;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.Message;

/**
 * Sends messages to guards. A message to a disconnected guard is dropped.
 */
@FunctionalInterface
public interface GuardChannel {

	/**
	 * Sends a message.
	 * @param guard the receiver
	 * @param message the message
	 */
	void send(GuardId guard, Message message);

}
