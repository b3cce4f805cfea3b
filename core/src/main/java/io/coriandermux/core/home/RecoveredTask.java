package io.coriandermux.core.home;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.LedgerEntry;

/**
 * A task that was recovered from a guard's ledger and has no record at this home.
 *
 * @param entry the ledger entry
 * @param guard the guard that holds the entry
 * @param guardLost whether the guard was lost before it reported the end of the task
 */
public record RecoveredTask(LedgerEntry entry, GuardId guard, boolean guardLost) {

}
