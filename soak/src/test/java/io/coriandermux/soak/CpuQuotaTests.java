package io.coriandermux.soak;

import java.nio.file.Files;
import java.nio.file.Path;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against quotas that throttle no process, or that end a pause of the soak.
 */
class CpuQuotaTests {

	@Example
	void aProcessStandsStillFromItsQuotaToTheEndOfThePeriod() {
		CpuQuota.Budget budget = new CpuQuota.Budget(45, 1_000);
		assertThat(budget.isUsedUp(1_030, 30)).isFalse();
		assertThat(budget.isUsedUp(1_050, 50)).isTrue();
		assertThat(budget.isUsedUp(1_099, 50)).isTrue();
		assertThat(budget.isUsedUp(1_100, 50)).isFalse();
	}

	@Example
	void whatWasUsedBeyondTheQuotaIsTakenFromTheNextPeriod() {
		CpuQuota.Budget budget = new CpuQuota.Budget(45, 1_000);
		assertThat(budget.isUsedUp(1_050, 100)).isTrue();
		assertThat(budget.isUsedUp(1_150, 100)).isTrue();
		assertThat(budget.isUsedUp(1_200, 100)).isFalse();
	}

	@Example
	void whatWasLeftIsLostAtTheEndOfThePeriod() {
		CpuQuota.Budget budget = new CpuQuota.Budget(45, 1_000);
		assertThat(budget.isUsedUp(1_500, 0)).isFalse();
		assertThat(budget.isUsedUp(1_550, 45)).isTrue();
	}

	@Example
	void aRestartedProcessBeginsWithNoUsedTime() {
		CpuQuota.Budget budget = new CpuQuota.Budget(45, 1_000);
		assertThat(budget.isUsedUp(1_150, 40)).isFalse();
		assertThat(budget.isUsedUp(1_160, 10)).isFalse();
		assertThat(budget.isUsedUp(1_170, 50)).isTrue();
	}

	@Example
	void aPauseOutlastsTheEndOfAThrottledPeriod() throws Exception {
		try (SignalSender signals = new SignalSender()) {
			SystemProcess process = new SystemProcess("guard-1", "guard", "127.0.0.1:1", 1, Path.of("missing.json"),
					Path.of("target/quota-test.log"), signals);
			process.start();
			process.setThrottled(true);
			awaitState(process, 'T');
			process.pause();
			process.setThrottled(false);
			assertThat(state(process)).isEqualTo('T');
			process.setThrottled(true);
			process.resume();
			assertThat(state(process)).isEqualTo('T');
			process.setThrottled(false);
			process.sendHangUp();
			assertThat(process.awaitEnd(10_000)).isTrue();
		}
	}

	// A signal is handled a moment after it was sent.
	private static void awaitState(SystemProcess process, char expected) throws Exception {
		long endNanos = System.nanoTime() + 1_000_000_000;
		while (state(process) != expected && System.nanoTime() < endNanos) {
			Thread.sleep(1);
		}
		assertThat(state(process)).isEqualTo(expected);
	}

	private static char state(SystemProcess process) throws Exception {
		String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
		return stat.charAt(stat.lastIndexOf(')') + 2);
	}

}
