package io.coriandermux.daemon.settings;

import io.coriandermux.wire.PeerAddress;

/**
 * Settings of an entry that serves batches.
 *
 * @param process settings that all processes share
 * @param callers address of the port for callers
 * @param ready address of the readiness port for the load balancer
 * @param remoteFactor run time on a remote rack as a multiple of that on the rack of the
 * data
 */
public record BatchEntrySettings(ProcessSettings process, PeerAddress callers, PeerAddress ready, double remoteFactor) {

}
