package io.coriandermux.core.api;

import io.coriandermux.core.id.OwnerId;

/**
 * Requests a job id whose home is a live entry.
 *
 * @param owner the authenticated owner
 */
public record ReserveJobId(OwnerId owner) implements CallerRequest {

}
