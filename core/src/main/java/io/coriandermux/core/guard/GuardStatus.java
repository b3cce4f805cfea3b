package io.coriandermux.core.guard;

/**
 * State of a guard for operators.
 *
 * @param ready whether the home table was read
 * @param draining whether the endpoint is draining
 * @param running number of running tasks
 * @param freeSlots number of free slots
 * @param ledgerEntries number of ledger entries
 * @param ledgerBytes size of the ledger in bytes
 * @param links number of connected entries
 */
public record GuardStatus(boolean ready, boolean draining, int running, int freeSlots, int ledgerEntries,
		long ledgerBytes, int links) {

}
