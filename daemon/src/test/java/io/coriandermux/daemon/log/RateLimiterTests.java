package io.coriandermux.daemon.log;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a log that is flooded by one repeated event, and against records that
 * are suppressed without being counted.
 */
class RateLimiterTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final RateLimiter limiter = new RateLimiter();

	@Example
	void suppressesRepeatedEventsAndReportsTheirNumberWithTheNextRecord() {
		for (int count = 0; count < 20; count++) {
			assertThat(this.limiter.admit(4003, SECOND_NANOS)).isZero();
		}
		for (int count = 0; count < 7; count++) {
			assertThat(this.limiter.admit(4003, SECOND_NANOS + 5)).isEqualTo(-1);
		}
		assertThat(this.limiter.admit(4003, 2 * SECOND_NANOS)).isEqualTo(7);
		assertThat(this.limiter.admit(4003, 2 * SECOND_NANOS)).isZero();
	}

	@Example
	void limitsTheRecordsOfSingleBatches() {
		int admitted = 0;
		for (int count = 0; count < 100_000; count++) {
			admitted += (this.limiter.admit(2602, SECOND_NANOS) >= 0) ? 1 : 0;
		}
		assertThat(admitted).isEqualTo(400);
	}

	@Example
	void doesNotSuppressOtherEvents() {
		for (int count = 0; count < 100; count++) {
			this.limiter.admit(4003, SECOND_NANOS);
		}
		assertThat(this.limiter.admit(1005, SECOND_NANOS)).isZero();
	}

}
