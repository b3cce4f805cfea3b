package io.coriandermux.core.home;

import java.nio.charset.StandardCharsets;

import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import net.openhft.hashing.LongHashFunction;

/**
 * Maps job keys to partitions.
 */
public final class Partitions {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private Partitions() {
	}

	/**
	 * Returns the partition of a job. An issued id contains its partition; any other id
	 * is mapped by the hash of owner and id.
	 * @param key the job
	 * @return its partition
	 */
	public static Partition of(JobKey key) {
		return new JobId(key.job()).partitionEpoch().map(PartitionEpoch::partition).orElseGet(() -> fromHash(key));
	}

	private static Partition fromHash(JobKey key) {
		byte[] text = (key.owner().value() + "/" + key.job()).getBytes(StandardCharsets.UTF_8);
		return new Partition((int) Long.remainderUnsigned(HASH.hashBytes(text), Partition.COUNT));
	}

}
