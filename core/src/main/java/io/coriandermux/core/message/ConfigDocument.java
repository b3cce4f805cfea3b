package io.coriandermux.core.message;

import io.coriandermux.core.id.Revision;

/**
 * A document of the configuration as stored in the platform store.
 *
 * @param key its store key
 * @param revision its modification revision in the store
 * @param json its content as JSON text
 */
public record ConfigDocument(String key, Revision revision, String json) {

}
