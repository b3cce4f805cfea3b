package io.coriandermux.soak;

/**
 * How single requests of clients are held.
 *
 * @param percent the share of the requests in percent
 * @param minMillis shortest time until a request is delivered
 * @param rangeMillis range of that time
 * @param resetMillis time after which the client's side is reset, -1 if it stays open
 * until the client closes it
 * @param endDelayMillis time between the delivery of the request and that of the end of
 * its connection
 */
record RequestHold(int percent, int minMillis, int rangeMillis, long resetMillis, long endDelayMillis) {

}
