package io.coriandermux.core.lease;

import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * A run that has ended at an endpoint.
 *
 * @param number sequence number of the end in this incarnation of the endpoint, from 1
 * @param run the run
 * @param outcome how the run ended
 */
public record EndedRun(long number, RunId run, RunOutcome outcome) {

}
