package io.coriandermux.proof.journal;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.id.EntryId;

/**
 * The decision logic of an entry produced the reply to a request, for the caller or for
 * the entry that forwarded the request.
 *
 * @param atNanos simulated time in nanoseconds
 * @param requestNumber number of the request
 * @param entry the entry that produced the reply
 * @param reply the reply
 */
public record ReplyDecided(long atNanos, long requestNumber, EntryId entry, CallerReply reply) implements Observation {

}
