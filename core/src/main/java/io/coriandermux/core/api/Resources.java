package io.coriandermux.core.api;

/**
 * Resource amounts: the capacity of a slot or the declared needs of a task.
 *
 * @param cores processor cores
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
public record Resources(int cores, int memoryMb, int accelerators) {

	/** No declared needs. */
	public static final Resources NONE = new Resources(0, 0, 0);

	/**
	 * Returns whether the needs of a task fit into this capacity.
	 * @param needs the needs
	 * @return whether each need is at most the capacity
	 */
	public boolean fits(Resources needs) {
		return needs.cores <= this.cores && needs.memoryMb <= this.memoryMb && needs.accelerators <= this.accelerators;
	}

}
