package io.coriandermux.core.id;

/**
 * Identifies a job by its owner and job id, so that equal ids of different owners do not
 * collide.
 *
 * @param owner the owner
 * @param job the job id as text, see {@link JobId}
 */
public record JobKey(OwnerId owner, String job) {

	@Override
	public String toString() {
		return this.owner + "/" + this.job;
	}

}
