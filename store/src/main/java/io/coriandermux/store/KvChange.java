package io.coriandermux.store;

import java.util.Optional;

/**
 * A change of a key.
 *
 * @param key the key
 * @param revision revision of the change
 * @param value the new value, empty if the key was deleted
 */
public record KvChange(String key, long revision, Optional<String> value) {

}
