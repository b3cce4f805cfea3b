package io.coriandermux.core.dispatch;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.Message;

/**
 * Sends messages to other entries. A message to a disconnected entry is dropped.
 */
@FunctionalInterface
public interface PeerChannel {

	/**
	 * Sends a message.
	 * @param entry the receiver
	 * @param message the message
	 */
	void send(EntryId entry, Message message);

}
