package io.coriandermux.core.entry;

import io.coriandermux.core.api.CallerReply;

/**
 * Sends a reply to a caller.
 *
 * @param reference number of the request at this process
 * @param reply the reply
 */
public record ReplyToCaller(long reference, CallerReply reply) implements EntryEffect {

}
