package io.coriandermux.store;

import java.util.Optional;

/**
 * A change of a key: a write or a deletion.
 *
 * @param key the key
 * @param revision the revision of the change
 * @param value the new value, empty if the key was deleted
 */
public record KvChange(String key, long revision, Optional<String> value) {

}
