package io.coriandermux.core.message;

import io.coriandermux.core.id.Revision;

/**
 * Requests the home table of a peer if it is newer.
 *
 * @param currentRevision revision of the home table in force at the sender
 */
public record HomesPull(Revision currentRevision) implements Message {

}
