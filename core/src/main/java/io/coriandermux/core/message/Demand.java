package io.coriandermux.core.message;

/**
 * Reports to a guard that tasks wait at an entry that has no credit from it.
 *
 * @param queued number of waiting tasks
 */
public record Demand(int queued) implements Message {

}
