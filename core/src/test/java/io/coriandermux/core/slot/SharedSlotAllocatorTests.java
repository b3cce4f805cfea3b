package io.coriandermux.core.slot;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.Recall;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against more running tasks than slots, and slots that stay idle while tasks
 * wait.
 */
class SharedSlotAllocatorTests {

	private static final int SLOTS = 8;

	private static final EntryId A = new EntryId("a");

	private static final EntryId B = new EntryId("b");

	private final SharedSlotAllocator allocator = new SharedSlotAllocator(SLOTS, SlotSettings.defaults());

	private Moment now = new Moment(0, 0);

	@Property(seed = "20261204", tries = 300)
	void runningTasksAndCreditsNeverExceedTheSlots(
			@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 1_000) Integer> steps) {
		SharedSlotAllocator tested = new SharedSlotAllocator(SLOTS, SlotSettings.defaults());
		Map<EntryId, Integer> credits = new TreeMap<>();
		Deque<EntryId> running = new ArrayDeque<>();
		EntryId[] entries = { A, B, new EntryId("c") };
		long nanos = 0;
		for (int step : steps) {
			EntryId entry = entries[step % 3];
			switch (step / 3 % 6) {
				case 0 -> tested.onEntryConnected(entry);
				case 1 -> {
					tested.onEntryDisconnected(entry);
					credits.remove(entry);
				}
				case 2 -> tested.onDemand(entry, step / 18);
				case 3 -> {
					if (tested.acquireSlot(entry)) {
						credits.merge(entry, -1, Integer::sum);
						running.add(entry);
					}
				}
				case 4 -> {
					if (!running.isEmpty()) {
						EntryId ended = running.poll();
						credits.merge(ended, tested.releaseSlot(ended) ? 1 : 0, Integer::sum);
					}
				}
				default -> {
					int released = credits.getOrDefault(entry, 0);
					credits.computeIfPresent(entry, (key, count) -> 0);
					tested.onCreditsReleased(entry, released);
				}
			}
			nanos += 10_000_000L;
			for (SlotMessage message : tested.creditMessages(new Moment(nanos, 0))) {
				if (message.message() instanceof Credit credit) {
					credits.merge(message.entry(), credit.count(), Integer::sum);
				}
			}
			int granted = credits.values().stream().mapToInt(Integer::intValue).sum();
			assertThat(granted + running.size()).isLessThanOrEqualTo(SLOTS);
			assertThat(tested.freeSlots()).isEqualTo(SLOTS - running.size());
		}
	}

	@Example
	void freeSlotsAreGrantedToTheOnlyEntry() {
		this.allocator.onEntryConnected(A);
		assertThat(this.allocator.creditMessages(this.now)).containsExactly(new SlotMessage(A, new Credit(SLOTS)));
	}

	@Example
	void startWithoutCreditIsRefused() {
		this.allocator.onEntryConnected(A);
		assertThat(this.allocator.acquireSlot(A)).isFalse();
	}

	@Example
	void unusedCreditsAreRecalledForAnEntryWithWaitingTasks() {
		this.allocator.onEntryConnected(A);
		this.allocator.creditMessages(this.now);
		this.allocator.onEntryConnected(B);
		this.allocator.onDemand(B, 3);
		assertThat(this.allocator.creditMessages(this.now)).containsExactly(new SlotMessage(A, new Recall(3)));
		assertThat(this.allocator.creditMessages(this.now)).isEmpty();
		this.allocator.onCreditsReleased(A, 3);
		assertThat(this.allocator.creditMessages(this.now)).contains(new SlotMessage(B, new Credit(3)));
	}

	@Example
	void creditOfAnEndedTaskIsGrantedToTheEntryThatHoldsFewerSlots() {
		this.allocator.onEntryConnected(A);
		this.allocator.creditMessages(this.now);
		this.allocator.onEntryConnected(B);
		this.allocator.acquireSlot(A);
		this.allocator.onDemand(A, 10);
		this.allocator.onDemand(B, 10);
		assertThat(this.allocator.releaseSlot(A)).isFalse();
		assertThat(this.allocator.creditMessages(this.now)).contains(new SlotMessage(B, new Credit(1)));
	}

	@Example
	void creditsOfALostEntryAreGrantedAgainAndItsTasksKeepTheirSlots() {
		this.allocator.onEntryConnected(A);
		this.allocator.creditMessages(this.now);
		this.allocator.acquireSlot(A);
		this.allocator.onEntryDisconnected(A);
		this.allocator.onEntryConnected(B);
		assertThat(this.allocator.creditMessages(this.now)).containsExactly(new SlotMessage(B, new Credit(SLOTS - 1)));
		assertThat(this.allocator.releaseSlot(A)).isFalse();
		assertThat(this.allocator.creditMessages(this.now)).containsExactly(new SlotMessage(B, new Credit(1)));
	}

	@Example
	void drainingGuardGrantsNothing() {
		this.allocator.onEntryConnected(A);
		this.allocator.stopGranting();
		assertThat(this.allocator.creditMessages(this.now)).isEmpty();
	}

}
