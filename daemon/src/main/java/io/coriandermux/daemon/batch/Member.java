package io.coriandermux.daemon.batch;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;

/**
 * A process as announced in the store.
 *
 * @param name role and id of the process
 * @param incarnation its incarnation
 * @param address address at which it accepts links
 * @param protocol the message types that it knows, see
 * {@link AnnouncementFormat#PROTOCOL}
 */
public record Member(PeerName name, Incarnation incarnation, PeerAddress address, int protocol) {

}
