package io.coriandermux.core.dispatch;

/**
 * A 64-bit hash of two strings that is the same in each process. Implemented here because
 * loading the classes of a hash library delays each start.
 */
final class HashMixer {

	/** Golden ratio in 64 bits, the increment of SplitMix64. */
	private static final long STEP = 0x9E3779B97F4A7C15L;

	/** Multipliers of the finalizer of SplitMix64. */
	private static final long FIRST_FACTOR = 0xBF58476D1CE4E5B9L;

	private static final long SECOND_FACTOR = 0x94D049BB133111EBL;

	private static final int FIRST_SHIFT = 30;

	private static final int SECOND_SHIFT = 27;

	private static final int THIRD_SHIFT = 31;

	private HashMixer() {
	}

	static long hash(String first, String second) {
		long hash = first.hashCode() * STEP + second.hashCode();
		hash = (hash ^ (hash >>> FIRST_SHIFT)) * FIRST_FACTOR;
		hash = (hash ^ (hash >>> SECOND_SHIFT)) * SECOND_FACTOR;
		return hash ^ (hash >>> THIRD_SHIFT);
	}

}
