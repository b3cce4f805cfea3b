package io.coriandermux.standins;

/**
 * Numbers of calls that the store stand-in has received.
 *
 * @param reads reads of a prefix
 * @param writes writes and deletions
 * @param leases lease creations and renewals
 * @param watches watches, also those answered at once
 */
public record StoreCallCounts(long reads, long writes, long leases, long watches) {

	/** Counts before the first call. */
	static final StoreCallCounts NONE = new StoreCallCounts(0, 0, 0, 0);

	StoreCallCounts plusRead() {
		return new StoreCallCounts(this.reads + 1, this.writes, this.leases, this.watches);
	}

	StoreCallCounts plusWrite() {
		return new StoreCallCounts(this.reads, this.writes + 1, this.leases, this.watches);
	}

	StoreCallCounts plusLease() {
		return new StoreCallCounts(this.reads, this.writes, this.leases + 1, this.watches);
	}

	StoreCallCounts plusWatch() {
		return new StoreCallCounts(this.reads, this.writes, this.leases, this.watches + 1);
	}

}
