package io.coriandermux.daemon.settings;

import java.net.URI;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;

/**
 * Settings of a guard process.
 *
 * @param process settings that all processes share
 * @param endpoint name of the endpoint
 * @param url base URL of the endpoint
 * @param slots number of tasks that the endpoint runs concurrently
 * @param capacity maximum needs of a single task that the endpoint can run
 * @param ledgerBytes maximum size of the ledger in bytes
 */
public record GuardProcessSettings(ProcessSettings process, EndpointName endpoint, URI url, int slots,
		Resources capacity, long ledgerBytes) {

}
