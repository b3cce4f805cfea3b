package io.coriandermux.core.message;

import io.coriandermux.core.id.Revision;

/**
 * Requests the configuration snapshot of a peer if it is newer.
 *
 * @param currentRevision revision of the snapshot in force at the sender
 */
public record ConfigPull(Revision currentRevision) implements Message {

}
