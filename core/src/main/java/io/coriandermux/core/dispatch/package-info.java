/**
 * Dispatch of batches by an entry to leased endpoints: order of the batches, placement of
 * their tasks, and refusal of batches that cannot be served in time.
 */
package io.coriandermux.core.dispatch;
