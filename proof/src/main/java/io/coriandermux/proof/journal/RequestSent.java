package io.coriandermux.proof.journal;

import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.id.EntryId;

/**
 * A caller sent a request to an entry.
 *
 * @param atNanos simulated time in nanoseconds
 * @param requestNumber number of the request
 * @param entry the entry that it was sent to
 * @param request the request
 */
public record RequestSent(long atNanos, long requestNumber, EntryId entry,
		CallerRequest request) implements Observation {

}
