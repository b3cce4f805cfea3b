package io.coriandermux.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a balancer that sends callers elsewhere than the one of the platform, so
 * that a soak would not show what callers meet there.
 */
class BalancerTests {

	private final List<String> trace = new ArrayList<>();

	private final Balancer balancer = createBalancer(4);

	@AfterProperty
	void close() {
		this.balancer.close();
	}

	@Example
	void sendsACallerToOneEntryAndTheCallersToAllOfThem() {
		Set<Integer> chosen = new HashSet<>();
		for (int caller = 0; caller < 50; caller++) {
			int entry = this.balancer.choose(caller, 0, -1);
			assertThat(this.balancer.choose(caller, 0, -1)).isEqualTo(entry);
			chosen.add(entry);
		}
		assertThat(chosen).containsExactlyInAnyOrder(0, 1, 2, 3);
	}

	@Example
	void sendsTheNextAttemptToAnotherEntry() {
		for (int caller = 0; caller < 50; caller++) {
			int previous = this.balancer.choose(caller, 0, -1);
			assertThat(this.balancer.choose(caller, 1, previous)).isNotEqualTo(previous);
		}
	}

	@Example
	void takesOutAnEntryAfterTwoMissesUntilItAnswersAgain() {
		this.balancer.onProbed(2, false);
		assertThat(chosenEntries()).contains(2);
		this.balancer.onProbed(2, false);
		assertThat(chosenEntries()).containsExactlyInAnyOrder(0, 1, 3);
		this.balancer.onProbed(2, true);
		assertThat(chosenEntries()).contains(2);
		assertThat(this.trace).containsExactly("balancer takes out entry-3", "balancer takes in entry-3");
	}

	@Example
	void usesAllEntriesIfFewerThanHalfAreReady() {
		for (int entry = 0; entry < 3; entry++) {
			this.balancer.onProbed(entry, false);
			this.balancer.onProbed(entry, false);
		}
		assertThat(chosenEntries()).containsExactlyInAnyOrder(0, 1, 2, 3);
	}

	private Set<Integer> chosenEntries() {
		Set<Integer> chosen = new HashSet<>();
		for (int caller = 0; caller < 100; caller++) {
			chosen.add(this.balancer.choose(caller, 0, -1));
		}
		return chosen;
	}

	private Balancer createBalancer(int entries) {
		List<FaultProxy> paths = new ArrayList<>();
		List<Integer> readyPorts = new ArrayList<>();
		try (ProxyLoop loop = new ProxyLoop()) {
			for (int entry = 0; entry < entries; entry++) {
				FaultProxy path = new FaultProxy(loop, 1);
				path.close();
				paths.add(path);
				readyPorts.add(1);
			}
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
		return new Balancer(paths, readyPorts, this.trace::add);
	}

}
