package io.coriandermux.core.lease;

/**
 * A request for the active and the ended runs of an endpoint.
 *
 * @param number number of the poll, increasing
 * @param highestReceivedEnd number of the last end that the guard has processed, which
 * the poll acknowledges
 * @param waitMillis how long the endpoint may delay the answer until a run ends, in
 * milliseconds
 */
public record Poll(long number, long highestReceivedEnd, long waitMillis) {

}
