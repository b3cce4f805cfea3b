package io.coriandermux.core.api;

import io.coriandermux.core.id.OwnerId;

/**
 * A request from a caller. Several requests for one job may wait for its outcome at the
 * same time.
 */
public sealed interface CallerRequest permits SubmitJob, FetchJob, CancelJob, ReserveJobId {

	/**
	 * Returns the authenticated owner.
	 * @return the owner
	 */
	OwnerId owner();

}
