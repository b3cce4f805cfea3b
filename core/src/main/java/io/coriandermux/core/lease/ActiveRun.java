package io.coriandermux.core.lease;

import io.coriandermux.core.run.RunId;

/**
 * A run that is in progress at an endpoint.
 *
 * @param run the run
 * @param percent progress of the run in percent
 */
public record ActiveRun(RunId run, int percent) {

}
