package io.coriandermux.core.message;

import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Reports the end of a run to the entry that requested it.
 *
 * @param run the run
 * @param outcome outcome of the run
 * @param runMillis run time in milliseconds
 */
public record RunEnded(RunId run, RunOutcome outcome, long runMillis) implements Message {

}
