package io.coriandermux.core.slot;

import java.util.List;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Moment;

/**
 * Allocates the slots of one endpoint to entries. The sum of running tasks and credits
 * never exceeds the number of slots, except for credits that a lost entry still holds:
 * they are invalid at once, and their slots are granted again.
 */
public interface SlotAllocator {

	/**
	 * Adds an entry that is connected.
	 * @param entry the entry
	 */
	void onEntryConnected(EntryId entry);

	/**
	 * Removes an entry. Its unused credits become invalid; its running tasks keep their
	 * slots.
	 * @param entry the entry
	 */
	void onEntryDisconnected(EntryId entry);

	/**
	 * Updates the number of tasks that wait at an entry.
	 * @param entry the entry
	 * @param queued number of waiting tasks
	 */
	void onDemand(EntryId entry, int queued);

	/**
	 * Uses one credit of an entry to occupy a slot.
	 * @param entry the entry
	 * @return whether it held a credit
	 */
	boolean acquireSlot(EntryId entry);

	/**
	 * Frees the slot of a task and decides whether the entry that started it gets the
	 * credit again.
	 * @param entry the entry that started it
	 * @return whether that entry gets the credit, which the answer then carries
	 */
	boolean releaseSlot(EntryId entry);

	/**
	 * Takes back credits that an entry released.
	 * @param entry the entry
	 * @param count number of released credits
	 */
	void onCreditsReleased(EntryId entry, int count);

	/**
	 * Stops granting credits because the endpoint drains.
	 */
	void stopGranting();

	/**
	 * Returns the number of slots without a running task.
	 * @return the number
	 */
	int freeSlots();

	/**
	 * Returns the messages about credits to send now. Call it after each event.
	 * @param now the current time
	 * @return the messages
	 */
	List<SlotMessage> creditMessages(Moment now);

}
