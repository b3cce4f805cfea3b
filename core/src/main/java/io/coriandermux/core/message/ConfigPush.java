package io.coriandermux.core.message;

import java.util.List;

import io.coriandermux.core.id.Revision;

/**
 * Sends a configuration snapshot to a peer.
 *
 * @param revision revision of the snapshot
 * @param documents the documents in the order of their keys
 */
public record ConfigPush(Revision revision, List<ConfigDocument> documents) implements Message {

}
