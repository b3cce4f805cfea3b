package io.coriandermux.core.accept;

import java.nio.charset.StandardCharsets;
import java.util.List;

import io.coriandermux.core.api.TaskSpec;
import net.openhft.hashing.LongHashFunction;

/**
 * Hash of the requests that an endpoint receives. It distinguishes a resubmitted job from
 * another job with the same id.
 */
public final class ContentHash {

	private static final LongHashFunction HASH = LongHashFunction.xx3();

	private ContentHash() {
	}

	/**
	 * Returns the hash of a task.
	 * @param path path of the request at the endpoint
	 * @param payload body of the request
	 * @return the hash
	 */
	public static long of(String path, byte[] payload) {
		long pathHash = HASH.hashBytes(path.getBytes(StandardCharsets.UTF_8));
		return HASH.hashLongs(new long[] { pathHash, HASH.hashBytes(payload) });
	}

	/**
	 * Returns the hash of a job.
	 * @param tasks the tasks of the job
	 * @return the hash
	 */
	public static long of(List<TaskSpec> tasks) {
		return HASH.hashLongs(tasks.stream().mapToLong((task) -> of(task.path(), task.payload())).toArray());
	}

}
