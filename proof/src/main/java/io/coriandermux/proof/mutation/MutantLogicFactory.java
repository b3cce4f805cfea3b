package io.coriandermux.proof.mutation;

import java.util.List;
import java.util.function.Supplier;

import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.proof.simulation.EntryLogic;
import io.coriandermux.proof.simulation.GuardLogic;
import io.coriandermux.proof.simulation.LogicFactory;

/**
 * Creates decision logic that a mutation makes break one guarantee.
 */
public final class MutantLogicFactory implements LogicFactory {

	private final LogicFactory base;

	private final Mutation mutation;

	/**
	 * Creates the factory.
	 * @param base creates the unchanged decision logic
	 * @param mutation the mutation to apply
	 */
	public MutantLogicFactory(LogicFactory base, Mutation mutation) {
		this.base = base;
		this.mutation = mutation;
	}

	@Override
	public EntryLogic createEntryLogic(EntryInfo info, Supplier<String> uuids) {
		EntryLogic inner = this.base.createEntryLogic(info, uuids);
		EntryMutator mutator = this.mutation.entryMutator();
		return new EntryLogic() {
			@Override
			public List<EntryEffect> handle(EntryEvent event, Moment now) {
				return mutator.handle(inner, event, now);
			}

			@Override
			public EntryStatus status(Moment now) {
				return mutator.status(inner, now);
			}
		};
	}

	@Override
	public GuardLogic createGuardLogic(GuardInfo info, Moment startedAt) {
		GuardLogic inner = this.base.createGuardLogic(info, startedAt);
		GuardMutator mutator = this.mutation.guardMutator();
		return (event, now) -> mutator.handle(inner, event, now);
	}

}
