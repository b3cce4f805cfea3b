package io.coriandermux.core.run;

/**
 * Amounts of resources: the capacity of an endpoint, its free resources, or the needs of
 * a task.
 *
 * @param millicores thousandths of a processor core
 * @param memoryMb memory in megabytes
 * @param accelerators number of accelerators
 */
public record ResourceAmounts(long millicores, long memoryMb, long accelerators) {

	private static final int HASH_FACTOR = 31;

	/** Zero of each resource. */
	public static final ResourceAmounts NONE = new ResourceAmounts(0, 0, 0);

	/**
	 * Returns whether these amounts are sufficient for the given needs.
	 * @param needs the needs
	 * @return whether no need exceeds the amount of its resource
	 */
	public boolean fits(ResourceAmounts needs) {
		return needs.millicores <= this.millicores && needs.memoryMb <= this.memoryMb
				&& needs.accelerators <= this.accelerators;
	}

	/**
	 * Adds amounts.
	 * @param other the amounts to add
	 * @return the sum
	 */
	public ResourceAmounts plus(ResourceAmounts other) {
		return new ResourceAmounts(this.millicores + other.millicores, this.memoryMb + other.memoryMb,
				this.accelerators + other.accelerators);
	}

	/**
	 * Subtracts amounts.
	 * @param other the amounts to subtract
	 * @return the difference, negative where more is subtracted than is available
	 */
	public ResourceAmounts minus(ResourceAmounts other) {
		return new ResourceAmounts(this.millicores - other.millicores, this.memoryMb - other.memoryMb,
				this.accelerators - other.accelerators);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof ResourceAmounts that && this.millicores == that.millicores
				&& this.memoryMb == that.memoryMb && this.accelerators == that.accelerators;
	}

	@Override
	public int hashCode() {
		return HASH_FACTOR * (HASH_FACTOR * Long.hashCode(this.millicores) + Long.hashCode(this.memoryMb))
				+ Long.hashCode(this.accelerators);
	}

	@Override
	public String toString() {
		return this.millicores + " millicores, " + this.memoryMb + " MB, " + this.accelerators + " accelerators";
	}

}
