package io.coriandermux.core.lease;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.Message;

/**
 * Sends messages to entries. A message to an entry without a connection is dropped.
 */
@FunctionalInterface
public interface EntryChannel {

	/**
	 * Sends a message.
	 * @param entry the receiver
	 * @param message the message
	 */
	void send(EntryId entry, Message message);

}
