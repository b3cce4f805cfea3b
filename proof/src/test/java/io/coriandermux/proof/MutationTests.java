package io.coriandermux.proof;

import io.coriandermux.proof.mutation.Mutation;
import io.coriandermux.proof.trace.TraceFormatException;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against checks that do not detect a violation of their guarantee.
 */
class MutationTests {

	@Property
	void eachCheckDetectsItsMutationAndPassesWithoutIt(@ForAll Mutation mutation) throws TraceFormatException {
		assertThat(ProofTool.isDetected(mutation)).as(mutation.label()).isTrue();
	}

}
