package io.coriandermux.core.run;

/**
 * Id of a run, which is one attempt to execute a task. The attempt number distinguishes a
 * delayed order from the order for a later run of the same task.
 *
 * @param batch the batch of the task
 * @param phase index of the phase in the batch, from 0
 * @param index index of the task in the phase, from 0
 * @param attempt number of the attempt, from 1
 */
public record RunId(BatchId batch, int phase, int index, int attempt) {

	private static final int HASH_FACTOR = 31;

	@Override
	public String toString() {
		return this.batch + "." + this.phase + "." + this.index + "#" + this.attempt;
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof RunId that && this.phase == that.phase && this.index == that.index
				&& this.attempt == that.attempt && this.batch.equals(that.batch);
	}

	@Override
	public int hashCode() {
		return HASH_FACTOR * (HASH_FACTOR * (HASH_FACTOR * this.batch.hashCode() + this.phase) + this.index)
				+ this.attempt;
	}

}
