package io.coriandermux.core.model;

import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;

/**
 * A process at one end of a link and its handlers of what happens to the other end.
 *
 * @param process the process
 * @param onConnected called with the incarnation of the peer when the link is established
 * @param onLost called with the incarnation of the peer when the peer is lost
 * @param onMessage called with the incarnation of the peer and its message
 */
record LinkEnd(ModelProcess process, Consumer<Incarnation> onConnected, Consumer<Incarnation> onLost,
		BiConsumer<Incarnation, Message> onMessage) {

}
