package io.coriandermux.proof.simulation;

import java.util.List;
import java.util.function.Supplier;

import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryNode;
import io.coriandermux.core.entry.EntrySettings;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.guard.GuardNode;
import io.coriandermux.core.guard.GuardSettings;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.queue.PoolScheduler;
import io.coriandermux.core.queue.SchedulerSettings;
import io.coriandermux.core.slot.SharedSlotAllocator;
import io.coriandermux.core.slot.SlotSettings;

/**
 * Creates the unmodified decision logic of core, as real processes run it.
 */
public final class CoreLogicFactory implements LogicFactory {

	private static final long LEDGER_BYTES = 8L * 1024 * 1024;

	@Override
	public EntryLogic createEntryLogic(EntryInfo info, Supplier<String> uuids) {
		EntryNode node = new EntryNode(EntrySettings.of(info), new PoolScheduler(SchedulerSettings.of(info.zone())),
				uuids);
		return new EntryLogic() {
			@Override
			public List<EntryEffect> handle(EntryEvent event, Moment now) {
				return node.handle(event, now);
			}

			@Override
			public EntryStatus status(Moment now) {
				return node.status(now);
			}
		};
	}

	@Override
	public GuardLogic createGuardLogic(GuardInfo info, Moment startedAt) {
		GuardSettings settings = new GuardSettings(info, EntrySettings.DEFAULT_RETENTION_MILLIS, LEDGER_BYTES,
				startedAt.epochMillis());
		return new GuardNode(settings, new SharedSlotAllocator(info.slots(), SlotSettings.defaults()))::handle;
	}

}
