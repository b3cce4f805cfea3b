package io.coriandermux.core.message;

/**
 * Returns unused credits to a guard.
 *
 * @param count number of returned credits, 0 if none was unused
 */
public record Release(int count) implements Message {

}
