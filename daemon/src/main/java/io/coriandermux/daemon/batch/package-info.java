/**
 * Processes that serve batches: an entry that dispatches them and a guard whose endpoint
 * runs their tasks under a lease.
 */
package io.coriandermux.daemon.batch;
