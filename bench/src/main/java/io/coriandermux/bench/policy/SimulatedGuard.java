package io.coriandermux.bench.policy;

import java.util.List;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.Demand;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Release;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;
import io.coriandermux.core.slot.SharedSlotAllocator;
import io.coriandermux.core.slot.SlotMessage;
import io.coriandermux.core.slot.SlotSettings;

/**
 * A guard that runs the slot allocator of the dispatcher. A timer simulates its endpoint.
 */
final class SimulatedGuard {

	private static final Resources CAPACITY = new Resources(8, 16_384, 0);

	private static final byte[] EMPTY = {};

	private static final int RUNNERS_PER_RACK = 3;

	private final int number;

	private final Network network;

	private final SharedSlotAllocator allocator;

	private final GuardInfo info;

	SimulatedGuard(int number, Network network) {
		this.number = number;
		this.network = network;
		this.allocator = new SharedSlotAllocator(network.fleet().slots(), SlotSettings.defaults());
		this.info = new GuardInfo(new GuardId(String.format("g%04d", number)), new Incarnation(1), "127.0.0.1", 1,
				SimulatedEntry.zoneOf(number, network.fleet()), new RackName("rack-" + number / RUNNERS_PER_RACK),
				new EndpointName("runner-" + number), network.fleet().slots(), CAPACITY);
	}

	GuardInfo info() {
		return this.info;
	}

	int idleSlots() {
		return this.allocator.freeSlots();
	}

	void onEntriesConnected(List<EntryId> entries) {
		entries.forEach(this.allocator::onEntryConnected);
		sendCredits();
	}

	void onMessage(int entry, Message message) {
		EntryId from = SimulatedEntry.id(entry);
		if (message instanceof Start start) {
			this.allocator.onDemand(from, start.queued());
			if (this.allocator.acquireSlot(from)) {
				runTask(entry, start);
			}
			else {
				this.network.countWastedMessage();
				this.network.sendToEntry(this.number, entry,
						new Refused(start.task(), start.attempt(), StartRefusal.NO_SLOT, start.epoch()));
			}
		}
		else if (message instanceof Demand demand) {
			this.allocator.onDemand(from, demand.queued());
		}
		else if (message instanceof Release release) {
			this.allocator.onCreditsReleased(from, release.count());
		}
		sendCredits();
	}

	private void runTask(int entry, Start start) {
		VirtualTime time = this.network.time();
		long workNanos = this.network.workNanos(start.attempt());
		long runNanos = (long) (workNanos / this.network.fleet().speeds()[this.number]);
		time.scheduleAfter(runNanos, () -> {
			boolean creditReturned = this.allocator.releaseSlot(SimulatedEntry.id(entry));
			this.network.sendToEntry(this.number, entry, new Answer(start.task(), start.attempt(), LedgerState.FINISHED,
					EMPTY, true, runNanos, this.allocator.freeSlots(), creditReturned));
			sendCredits();
		});
	}

	private void sendCredits() {
		for (SlotMessage message : this.allocator.creditMessages(this.network.now())) {
			this.network.sendToEntry(this.number, SimulatedEntry.number(message.entry()), message.message());
		}
	}

}
