package io.coriandermux.core.reply;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.id.OwnerId;

/**
 * The most recent failed jobs of each owner.
 */
public final class FailureLog {

	/** Maximum number of failures that are kept per owner. */
	public static final int MAX_FAILURES_PER_OWNER = 100;

	private final Map<OwnerId, ArrayDeque<JobFailure>> failuresByOwner = new LinkedHashMap<>();

	/**
	 * Adds a failure. The oldest failure of the same owner is dropped at the limit.
	 * @param failure the failure
	 */
	public void add(JobFailure failure) {
		ArrayDeque<JobFailure> ownerFailures = this.failuresByOwner.computeIfAbsent(failure.job().owner(),
				(owner) -> new ArrayDeque<>());
		ownerFailures.add(failure);
		if (ownerFailures.size() > MAX_FAILURES_PER_OWNER) {
			ownerFailures.poll();
		}
	}

	/**
	 * Returns the failures of an owner.
	 * @param owner the owner
	 * @return the failures, oldest first
	 */
	public List<JobFailure> failuresOf(OwnerId owner) {
		return List.copyOf(this.failuresByOwner.getOrDefault(owner, new ArrayDeque<>()));
	}

}
