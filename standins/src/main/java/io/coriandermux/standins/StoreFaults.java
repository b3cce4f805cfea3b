package io.coriandermux.standins;

/**
 * Fault switches of the store stand-in.
 *
 * @param down whether every call is answered with status 503 and has no effect
 * @param writesDown whether writes are answered with status 503 and have no effect
 * @param silent whether calls are never answered and have no effect
 * @param delayMs delay before each call takes effect in milliseconds
 * @param loseWriteAnswers number of next writes that take effect, but whose connection is
 * closed without an answer
 */
public record StoreFaults(boolean down, boolean writesDown, boolean silent, long delayMs, int loseWriteAnswers) {

	/** All switches off. */
	public static final StoreFaults NONE = new StoreFaults(false, false, false, 0, 0);

	/**
	 * Returns the switches of an outage of all calls.
	 * @return the switches
	 */
	public static StoreFaults outage() {
		return new StoreFaults(true, false, false, 0, 0);
	}

	/**
	 * Returns the switches of an outage of writes only.
	 * @return the switches
	 */
	public static StoreFaults writeOutage() {
		return new StoreFaults(false, true, false, 0, 0);
	}

	/**
	 * Returns the switches of a store that never answers.
	 * @return the switches
	 */
	public static StoreFaults unresponsive() {
		return new StoreFaults(false, false, true, 0, 0);
	}

	/**
	 * Returns the switches that lose the answers of the next writes.
	 * @param count the number of writes
	 * @return the switches
	 */
	public static StoreFaults lostAnswers(int count) {
		return new StoreFaults(false, false, false, 0, count);
	}

	/**
	 * Returns the switches that delay each call.
	 * @param millis the delay in milliseconds
	 * @return the switches
	 */
	public static StoreFaults delay(long millis) {
		return new StoreFaults(false, false, false, millis, 0);
	}

}
