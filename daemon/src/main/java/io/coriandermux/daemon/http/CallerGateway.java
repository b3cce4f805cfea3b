package io.coriandermux.daemon.http;

import java.util.function.Consumer;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;

/**
 * Passes callers' requests to the decision thread.
 */
public interface CallerGateway {

	/**
	 * Enqueues a request for the decision thread.
	 * @param request the request
	 * @param replyConsumer receives the reply on the decision thread; must not block
	 * @return whether the request was enqueued; false if too many requests are waiting
	 */
	boolean enqueue(CallerRequest request, Consumer<CallerReply> replyConsumer);

}
