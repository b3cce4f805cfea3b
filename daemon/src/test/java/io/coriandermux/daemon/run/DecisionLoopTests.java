package io.coriandermux.daemon.run;

import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.wire.SystemTime;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process that goes on without its decisions.
 */
class DecisionLoopTests {

	private final SystemTime time = new SystemTime(Clock.systemUTC());

	// Guards against a stack overflow that ends the thread without ending the process,
	// which then neither serves nor is started again.
	@Example
	void aStackOverflowEndsTheProcessLikeAnException() throws InterruptedException {
		CountDownLatch failed = new CountDownLatch(1);
		try (DecisionLoop loop = new DecisionLoop("test", DecisionLoop.NO_AFTER_BATCH_ACTION,
				DecisionLoop.NO_AFTER_BATCH_ACTION, this.time, new EventLog("test", this.time), failed::countDown)) {
			loop.start();
			loop.put(() -> {
				throw new StackOverflowError("error of this test");
			});
			assertThat(failed.await(20, TimeUnit.SECONDS)).isTrue();
			assertThat(loop.hasFailed()).isTrue();
		}
	}

}
