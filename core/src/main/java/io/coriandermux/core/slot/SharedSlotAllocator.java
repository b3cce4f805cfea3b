package io.coriandermux.core.slot;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.Recall;

/**
 * Allocates slots by demand: they are divided evenly among the entries with waiting
 * tasks, or among all entries if no task waits. An entry keeps its credits until another
 * entry needs them.
 */
public final class SharedSlotAllocator implements SlotAllocator {

	private final int slots;

	private final SlotSettings settings;

	private final Map<EntryId, EntrySlots> entries = new TreeMap<>();

	/** Number of running tasks per lost entry. */
	private final Map<EntryId, Integer> runningOfLostEntries = new TreeMap<>();

	private int runningTasks;

	private int grantedCredits;

	private boolean draining;

	/**
	 * Creates an allocator with all slots free.
	 * @param slots maximum number of tasks that the endpoint runs at the same time
	 * @param settings the settings
	 */
	public SharedSlotAllocator(int slots, SlotSettings settings) {
		this.slots = slots;
		this.settings = settings;
	}

	@Override
	public void onEntryConnected(EntryId entry) {
		EntrySlots state = this.entries.computeIfAbsent(entry, EntrySlots::new);
		Integer runningBefore = this.runningOfLostEntries.remove(entry);
		state.running += (runningBefore != null) ? runningBefore : 0;
	}

	@Override
	public void onEntryDisconnected(EntryId entry) {
		EntrySlots state = this.entries.remove(entry);
		if (state == null) {
			return;
		}
		this.grantedCredits -= state.credits;
		if (state.running > 0) {
			this.runningOfLostEntries.merge(entry, state.running, Integer::sum);
		}
	}

	@Override
	public void onDemand(EntryId entry, int queued) {
		EntrySlots state = this.entries.get(entry);
		if (state != null) {
			state.queued = queued;
		}
	}

	@Override
	public boolean acquireSlot(EntryId entry) {
		EntrySlots state = this.entries.get(entry);
		if (state == null || state.credits == 0) {
			return false;
		}
		state.credits--;
		this.grantedCredits--;
		state.running++;
		this.runningTasks++;
		return true;
	}

	@Override
	public boolean releaseSlot(EntryId entry) {
		EntrySlots state = this.entries.get(entry);
		if (state == null) {
			if (this.runningOfLostEntries.containsKey(entry)) {
				this.runningOfLostEntries.computeIfPresent(entry, (key, count) -> (count == 1) ? null : count - 1);
				this.runningTasks--;
			}
			return false;
		}
		if (state.running == 0) {
			return false;
		}
		state.running--;
		this.runningTasks--;
		if (this.draining || isNeededElsewhere(state)) {
			return false;
		}
		state.credits++;
		this.grantedCredits++;
		return true;
	}

	@Override
	public void onCreditsReleased(EntryId entry, int count) {
		EntrySlots state = this.entries.get(entry);
		if (state == null) {
			return;
		}
		int released = Math.max(0, Math.min(count, state.credits));
		state.credits -= released;
		this.grantedCredits -= released;
		state.pendingRecall = 0;
	}

	@Override
	public void stopGranting() {
		this.draining = true;
	}

	@Override
	public int freeSlots() {
		return this.slots - this.runningTasks;
	}

	@Override
	public List<SlotMessage> creditMessages(Moment now) {
		if (this.draining || this.entries.isEmpty()) {
			return List.of();
		}
		List<SlotMessage> messages = new ArrayList<>();
		int ungranted = this.slots - this.runningTasks - this.grantedCredits;
		Map<EntrySlots, Integer> grants = new LinkedHashMap<>();
		while (ungranted > 0) {
			EntrySlots recipient = selectRecipient();
			recipient.credits++;
			this.grantedCredits++;
			grants.merge(recipient, 1, Integer::sum);
			ungranted--;
		}
		grants.forEach((state, count) -> messages.add(new SlotMessage(state.entry, new Credit(count))));
		recall(now, messages);
		return messages;
	}

	private EntrySlots selectRecipient() {
		EntrySlots best = null;
		for (EntrySlots state : this.entries.values()) {
			if (best == null || takesPrecedence(state, best)) {
				best = state;
			}
		}
		return best;
	}

	private static boolean lacksCredits(EntrySlots state) {
		return state.queued > state.credits;
	}

	private static boolean takesPrecedence(EntrySlots state, EntrySlots other) {
		if (lacksCredits(state) != lacksCredits(other)) {
			return lacksCredits(state);
		}
		return state.heldSlots() < other.heldSlots();
	}

	private boolean isNeededElsewhere(EntrySlots holder) {
		for (EntrySlots state : this.entries.values()) {
			if (state != holder && lacksCredits(state)
					&& (!lacksCredits(holder) || state.heldSlots() < holder.heldSlots())) {
				return true;
			}
		}
		return false;
	}

	private void recall(Moment now, List<SlotMessage> messages) {
		int missingCredits = 0;
		for (EntrySlots state : this.entries.values()) {
			missingCredits += lacksCredits(state) ? state.queued - state.credits : 0;
			missingCredits -= state.pendingRecall;
		}
		for (EntrySlots state : this.entries.values()) {
			boolean due = !state.recalledBefore
					|| now.nanos() - state.recalledAtNanos >= this.settings.recallIntervalNanos();
			if (missingCredits > 0 && due && state.pendingRecall == 0 && state.queued == 0 && state.credits > 0) {
				int count = Math.min(state.credits, missingCredits);
				state.pendingRecall = count;
				state.recalledBefore = true;
				state.recalledAtNanos = now.nanos();
				missingCredits -= count;
				messages.add(new SlotMessage(state.entry, new Recall(count)));
			}
		}
	}

}
