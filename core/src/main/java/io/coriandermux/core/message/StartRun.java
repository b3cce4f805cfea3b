package io.coriandermux.core.message;

import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;

/**
 * Requests that a guard starts a run.
 *
 * @param run the run
 * @param spec task specification that is passed to the endpoint
 * @param needs resources that the run occupies
 * @param order sequence number of this order in the session, from 1
 */
public record StartRun(RunId run, String spec, ResourceAmounts needs, long order) implements Message {

}
