package io.coriandermux.core.dispatch;

/**
 * State of an entry's batch dispatch for operators.
 *
 * @param version version of the current configuration, 0 for none
 * @param routes number of routes in the configuration
 * @param endpoints number of known endpoints
 * @param accepting number of endpoints that accept runs now
 * @param batches number of batches that are waiting, running or being stopped
 * @param waiting number of batches with a waiting task
 */
public record DispatchStatus(long version, int routes, int endpoints, int accepting, int batches, int waiting) {

}
