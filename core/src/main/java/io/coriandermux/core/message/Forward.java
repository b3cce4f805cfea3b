package io.coriandermux.core.message;

import io.coriandermux.core.api.CallerRequest;

/**
 * Forwards a caller's request to the home of its job.
 *
 * @param correlation correlation id of the request at the sender
 * @param request the request
 */
public record Forward(long correlation, CallerRequest request) implements Message {

}
