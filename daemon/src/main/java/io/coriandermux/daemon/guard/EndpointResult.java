package io.coriandermux.daemon.guard;

/**
 * Result of a request to the endpoint.
 *
 * @param success whether the endpoint answered with a status from 200 to 299
 * @param body the response, or the reason of the failure as text
 * @param runNanos time from sending the request to its result, in nanoseconds
 */
record EndpointResult(boolean success, byte[] body, long runNanos) {

}
