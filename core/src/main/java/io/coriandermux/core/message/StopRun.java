package io.coriandermux.core.message;

import io.coriandermux.core.run.RunId;

/**
 * Requests that a guard stops a run.
 *
 * @param run the run
 */
public record StopRun(RunId run) implements Message {

}
