package io.coriandermux.core.id;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a wrong partition, epoch or creation time read from a job id.
 */
class JobIdTests {

	private static final String UUID = "01890a5d-ac96-774b-bcce-b302099a8057";

	@Example
	void issuedIdContainsPartitionEpochAndCreationTime() {
		JobId id = JobId.issue(new Partition(1023), new Epoch(7), UUID);
		assertThat(id.partitionEpoch()).contains(new PartitionEpoch(new Partition(1023), new Epoch(7)));
		assertThat(id.createdAtMillis()).hasValue(0x01890a5dac96L);
	}

	@Example
	void timeOrderedIdContainsOnlyItsCreationTime() {
		JobId id = new JobId(UUID);
		assertThat(id.partitionEpoch()).isEmpty();
		assertThat(id.createdAtMillis()).hasValue(0x01890a5dac96L);
	}

	@Example
	void freeFormIdContainsNoPartitionOrCreationTime() {
		JobId id = new JobId("order-4711");
		assertThat(id.partitionEpoch()).isEmpty();
		assertThat(id.createdAtMillis()).isEmpty();
	}

	@Example
	void idWithOtherCharactersIsRejected() {
		assertThatExceptionOfType(InvalidIdentifierException.class).isThrownBy(() -> new JobId("a/b"));
	}

}
