/**
 * The guard's side of runs under leases: the state of each run, the lease of the
 * endpoint, and the sessions of the entries that requested the runs.
 */
package io.coriandermux.core.lease;
