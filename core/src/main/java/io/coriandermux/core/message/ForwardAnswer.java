package io.coriandermux.core.message;

import io.coriandermux.core.api.CallerReply;

/**
 * Returns the reply to a forwarded request.
 *
 * @param correlation correlation id of the request at the entry that forwarded it
 * @param reply the reply
 */
public record ForwardAnswer(long correlation, CallerReply reply) implements Message {

}
