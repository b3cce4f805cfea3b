package io.coriandermux.core.guard;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.slot.SlotAllocator;
import io.coriandermux.core.slot.SlotMessage;

/**
 * Slots that grant every entry as many credits as there are slots. With several entries,
 * some starts find no free slot and are refused.
 */
public final class OvercommittedSlots implements SlotAllocator {

	private final Map<EntryId, Integer> credits = new LinkedHashMap<>();

	private final int slots;

	private int running;

	private boolean draining;

	/**
	 * Creates the slots.
	 * @param slots number of slots
	 */
	public OvercommittedSlots(int slots) {
		this.slots = slots;
	}

	@Override
	public void onEntryConnected(EntryId entry) {
		this.credits.put(entry, 0);
	}

	@Override
	public void onEntryDisconnected(EntryId entry) {
		this.credits.remove(entry);
	}

	@Override
	public void onDemand(EntryId entry, int queued) {
	}

	@Override
	public boolean acquireSlot(EntryId entry) {
		boolean held = this.credits.getOrDefault(entry, 0) > 0;
		this.credits.computeIfPresent(entry, (key, count) -> Math.max(0, count - 1));
		if (!held || this.running == this.slots) {
			return false;
		}
		this.running++;
		return true;
	}

	@Override
	public boolean releaseSlot(EntryId entry) {
		this.running--;
		return !this.draining && this.credits.computeIfPresent(entry, (key, count) -> count + 1) != null;
	}

	@Override
	public void onCreditsReleased(EntryId entry, int count) {
		this.credits.computeIfPresent(entry, (key, held) -> Math.max(0, held - count));
	}

	@Override
	public void stopGranting() {
		this.draining = true;
	}

	@Override
	public int freeSlots() {
		return this.slots - this.running;
	}

	@Override
	public List<SlotMessage> creditMessages(Moment now) {
		List<SlotMessage> messages = new ArrayList<>();
		if (!this.draining && freeSlots() > 0) {
			this.credits.replaceAll((entry, held) -> {
				if (held < this.slots) {
					messages.add(new SlotMessage(entry, new Credit(this.slots - held)));
				}
				return Math.max(held, this.slots);
			});
		}
		return messages;
	}

}
