package io.coriandermux.wire;

import java.time.Clock;

import io.coriandermux.core.id.Moment;

/**
 * Time source that reads the clocks of the machine. No other class reads them directly.
 */
public final class SystemTime implements TimeSource {

	private final Clock wallClock;

	/**
	 * Creates a time source.
	 * @param wallClock clock to read the wall-clock time from
	 */
	public SystemTime(Clock wallClock) {
		this.wallClock = wallClock;
	}

	@Override
	public Moment now() {
		return new Moment(System.nanoTime(), this.wallClock.millis());
	}

}
