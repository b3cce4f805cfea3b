package io.coriandermux.standins;

import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clock that advances only when a test advances it.
 */
final class ManualClock implements InstantSource {

	private final AtomicLong millis = new AtomicLong();

	void advance(long deltaMillis) {
		this.millis.addAndGet(deltaMillis);
	}

	@Override
	public Instant instant() {
		return Instant.ofEpochMilli(this.millis.get());
	}

}
