package io.coriandermux.core.message;

/**
 * Why a guard did not start a task.
 */
public enum StartRefusal {

	/** The epoch is older than the one the guard holds for the partition. */
	STALE_EPOCH,

	/** The epoch is newer than the one with which the guard was fenced. */
	UNFENCED,

	/** The ledger is full. */
	LEDGER_FULL,

	/** No slot is free. */
	NO_SLOT,

	/** The endpoint is draining. */
	LEAVING,

	/**
	 * The echoed clock reading of the guard is too old: the sender received the guard's
	 * last heartbeat too long before it sent the message.
	 */
	START_EXPIRED,

	/** The guard has not yet read the home table. */
	NOT_READY

}
