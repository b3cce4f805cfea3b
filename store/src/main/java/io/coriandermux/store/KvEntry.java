package io.coriandermux.store;

/**
 * A key of the store with its value.
 *
 * @param key the key
 * @param value the value as text
 * @param revision the revision of the last write of the key
 */
public record KvEntry(String key, String value, long revision) {

}
