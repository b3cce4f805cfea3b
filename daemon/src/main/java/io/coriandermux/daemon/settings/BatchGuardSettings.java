package io.coriandermux.daemon.settings;

import java.net.URI;

/**
 * Settings of a guard whose endpoint runs tasks under a lease.
 *
 * @param process settings that all processes share
 * @param endpoint URL of the endpoint
 * @param maxLeaseMillis maximum duration of a lease that the endpoint grants, in
 * milliseconds
 */
public record BatchGuardSettings(ProcessSettings process, URI endpoint, long maxLeaseMillis) {

}
