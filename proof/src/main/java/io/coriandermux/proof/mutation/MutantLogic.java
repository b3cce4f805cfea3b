package io.coriandermux.proof.mutation;

import java.util.List;
import java.util.function.Supplier;

import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryStatus;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.proof.world.EntryLogic;
import io.coriandermux.proof.world.GuardLogic;
import io.coriandermux.proof.world.Logic;

/**
 * Creates decision logic that a mutation makes break one guarantee.
 */
public final class MutantLogic implements Logic {

	private final Logic base;

	private final Mutation mutation;

	/**
	 * Creates the factory.
	 * @param base creates the unchanged decision logic
	 * @param mutation the mutation to apply
	 */
	public MutantLogic(Logic base, Mutation mutation) {
		this.base = base;
		this.mutation = mutation;
	}

	@Override
	public EntryLogic entry(EntryInfo info, Supplier<String> uuids) {
		EntryLogic inner = this.base.entry(info, uuids);
		EntryMutator mutator = this.mutation.entryMutator();
		return new EntryLogic() {
			@Override
			public List<EntryEffect> on(EntryEvent event, Moment now) {
				return mutator.handle(inner, event, now);
			}

			@Override
			public EntryStatus status(Moment now) {
				return mutator.status(inner, now);
			}
		};
	}

	@Override
	public GuardLogic guard(GuardInfo info, Moment startedAt) {
		GuardLogic inner = this.base.guard(info, startedAt);
		GuardMutator mutator = this.mutation.guardMutator();
		return (event, now) -> mutator.handle(inner, event, now);
	}

}
