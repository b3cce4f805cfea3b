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
class SharedSlotBookTests {

	private static final int SLOTS = 8;

	private static final EntryId A = new EntryId("a");

	private static final EntryId B = new EntryId("b");

	private final SharedSlotBook allocator = new SharedSlotBook(SLOTS, SlotSettings.usual());

	private Moment now = new Moment(0, 0);

	@Property(seed = "20261204", tries = 300)
	void runningTasksAndCreditsNeverExceedTheSlots(
			@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 1_000) Integer> steps) {
		SharedSlotBook tested = new SharedSlotBook(SLOTS, SlotSettings.usual());
		Map<EntryId, Integer> credits = new TreeMap<>();
		Deque<EntryId> running = new ArrayDeque<>();
		EntryId[] entries = { A, B, new EntryId("c") };
		long nanos = 0;
		for (int step : steps) {
			EntryId entry = entries[step % 3];
			switch (step / 3 % 6) {
				case 0 -> tested.entryUp(entry);
				case 1 -> {
					tested.entryDown(entry);
					credits.remove(entry);
				}
				case 2 -> tested.demand(entry, step / 18);
				case 3 -> {
					if (tested.start(entry)) {
						credits.merge(entry, -1, Integer::sum);
						running.add(entry);
					}
				}
				case 4 -> {
					if (!running.isEmpty()) {
						EntryId ended = running.poll();
						credits.merge(ended, tested.end(ended) ? 1 : 0, Integer::sum);
					}
				}
				default -> {
					int released = credits.getOrDefault(entry, 0);
					credits.computeIfPresent(entry, (key, count) -> 0);
					tested.released(entry, released);
				}
			}
			nanos += 10_000_000L;
			for (SlotMessage message : tested.messages(new Moment(nanos, 0))) {
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
		this.allocator.entryUp(A);
		assertThat(this.allocator.messages(this.now)).containsExactly(new SlotMessage(A, new Credit(SLOTS)));
	}

	@Example
	void startWithoutCreditIsRefused() {
		this.allocator.entryUp(A);
		assertThat(this.allocator.start(A)).isFalse();
	}

	@Example
	void unusedCreditsAreRecalledForAnEntryWithWaitingTasks() {
		this.allocator.entryUp(A);
		this.allocator.messages(this.now);
		this.allocator.entryUp(B);
		this.allocator.demand(B, 3);
		assertThat(this.allocator.messages(this.now)).containsExactly(new SlotMessage(A, new Recall(3)));
		assertThat(this.allocator.messages(this.now)).isEmpty();
		this.allocator.released(A, 3);
		assertThat(this.allocator.messages(this.now)).contains(new SlotMessage(B, new Credit(3)));
	}

	@Example
	void creditOfAnEndedTaskIsGrantedToTheEntryThatHoldsFewerSlots() {
		this.allocator.entryUp(A);
		this.allocator.messages(this.now);
		this.allocator.entryUp(B);
		this.allocator.start(A);
		this.allocator.demand(A, 10);
		this.allocator.demand(B, 10);
		assertThat(this.allocator.end(A)).isFalse();
		assertThat(this.allocator.messages(this.now)).contains(new SlotMessage(B, new Credit(1)));
	}

	@Example
	void creditsOfALostEntryAreGrantedAgainAndItsTasksKeepTheirSlots() {
		this.allocator.entryUp(A);
		this.allocator.messages(this.now);
		this.allocator.start(A);
		this.allocator.entryDown(A);
		this.allocator.entryUp(B);
		assertThat(this.allocator.messages(this.now)).containsExactly(new SlotMessage(B, new Credit(SLOTS - 1)));
		assertThat(this.allocator.end(A)).isFalse();
		assertThat(this.allocator.messages(this.now)).containsExactly(new SlotMessage(B, new Credit(1)));
	}

	@Example
	void drainingGuardGrantsNothing() {
		this.allocator.entryUp(A);
		this.allocator.drain();
		assertThat(this.allocator.messages(this.now)).isEmpty();
	}

}
