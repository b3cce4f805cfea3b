package io.coriandermux.proof.journal;

import io.coriandermux.core.api.CallerReply;

/**
 * A caller received the reply to its request.
 *
 * @param atNanos simulated time in nanoseconds
 * @param requestNumber number of the request
 * @param reply the reply
 */
public record ReplyReceived(long atNanos, long requestNumber, CallerReply reply) implements Observation {

}
