package io.coriandermux.core.member;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.ZoneName;

/**
 * The announcement of an entry.
 *
 * @param entry its id
 * @param incarnation its incarnation
 * @param host its IP address
 * @param port its TCP port for connections from other entries
 * @param zone its availability zone
 */
public record EntryInfo(EntryId entry, Incarnation incarnation, String host, int port, ZoneName zone) {

}
