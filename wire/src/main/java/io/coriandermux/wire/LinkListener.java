package io.coriandermux.wire;

import io.coriandermux.core.message.Message;

/**
 * Receives the events and messages of the links of a process. All methods are called on
 * the link thread and must not block.
 */
public interface LinkListener {

	/**
	 * Called when a link is established, for the first time or on a new connection.
	 * Messages sent on a previous connection may have been lost.
	 * @param peer the process at the other end
	 * @return whether the event was accepted; if not, it is offered again
	 */
	boolean onConnected(PeerIdentity peer);

	/**
	 * Called when a process is considered dead, was disconnected by this process, or was
	 * replaced by a newer incarnation.
	 * @param peer the process
	 * @return whether the event was accepted; if not, it is offered again
	 */
	boolean onLost(PeerIdentity peer);

	/**
	 * Called for each message that is received.
	 * @param peer the sender
	 * @param message the message
	 * @return whether the message was accepted; if not, it is offered again, and nothing
	 * more is read from this peer until it is accepted
	 */
	boolean onMessage(PeerIdentity peer, Message message);

	/**
	 * Called when a connection was closed or refused, a message could not be sent, or the
	 * link thread caught an exception.
	 * @param peer name of the peer, {@code caller} for an unauthenticated connection that
	 * the peer opened, or the part of this process that failed
	 * @param reason description of the error
	 */
	void onError(String peer, String reason);

	/**
	 * Called when a message was dropped because its receiver is not connected.
	 * @param peer the receiver
	 * @param message the message
	 */
	default void onDropped(PeerName peer, Message message) {
		// Most receivers repeat what they need when the link is established again.
	}

}
