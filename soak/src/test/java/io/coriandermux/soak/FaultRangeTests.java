package io.coriandermux.soak;

import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against kinds of faults that no seed plays, and against new kinds that change
 * the plans of earlier seeds.
 */
class FaultRangeTests {

	@Example
	void keepsTheKindsOfEarlierSeedsInTheirOrder() {
		Random random = new Random(1);
		List<Fault.Kind> kinds = FaultRange.SINGLE.drawKinds(random);
		assertThat(kinds).hasSize(14).startsWith(Fault.Kind.KILL_ENTRY).endsWith(Fault.Kind.CONFIGURE);
		assertThat(random.nextLong()).isEqualTo(new Random(1).nextLong());
	}

	@Example
	void widespreadSeedsPlayEachKindButThoseOfTheSites() {
		Set<Fault.Kind> expected = new HashSet<>(Set.of(Fault.Kind.values()));
		expected.removeIf(Fault.Kind::isOnSite);
		assertThat(expected).hasSize(19);
		assertThat(kindsOfManySeeds("widespread")).isEqualTo(expected);
	}

	@Example
	void keepsThePlansOfWidespreadSeeds() {
		assertThat(new FaultRange("widespread").drawKinds(new Random(1000))).containsExactly(Fault.Kind.RESET_ALL,
				Fault.Kind.KILL_ALL, Fault.Kind.LATE_ORDERS_MANY, Fault.Kind.PAUSE_MANY);
	}

	@Example
	void siteSeedsPlayEachKindThatIsNotPlayedByNameOnly() {
		Set<Fault.Kind> expected = new HashSet<>(Set.of(Fault.Kind.values()));
		expected.removeAll(Set.of(Fault.Kind.CUT_HALF_OPEN, Fault.Kind.RESTART_HALF_OPEN, Fault.Kind.HOLD_REQUESTS,
				Fault.Kind.SILENT_GUARD, Fault.Kind.FOREIGN_HEARTBEATS, Fault.Kind.BURST, Fault.Kind.UNANSWERED_ORDERS,
				Fault.Kind.REFUSE_STORE, Fault.Kind.CUT_GUARDS, Fault.Kind.GIVE_UP));
		assertThat(kindsOfManySeeds("site")).isEqualTo(expected);
	}

	@Example
	void knowsWhichFaultsNeedTheBalancer() {
		assertThat(new FaultRange("site").needsBalancer()).isTrue();
		assertThat(new FaultRange("RESET_ALL,HALF_OPEN_CALLERS").needsBalancer()).isTrue();
		assertThat(new FaultRange("CUT_HALF_OPEN").needsBalancer()).isTrue();
		assertThat(new FaultRange("RESTART_HALF_OPEN").needsBalancer()).isTrue();
		assertThat(new FaultRange("HOLD_REQUESTS").needsBalancer()).isTrue();
		assertThat(new FaultRange("RESET_ALL,RESTART_SOON").needsBalancer()).isFalse();
		assertThat(new FaultRange("widespread").needsBalancer()).isFalse();
		assertThat(FaultRange.SINGLE.needsBalancer()).isFalse();
	}

	private static Set<Fault.Kind> kindsOfManySeeds(String range) {
		Set<Fault.Kind> drawn = new HashSet<>();
		for (int seed = 0; seed < 200; seed++) {
			List<Fault.Kind> kinds = new FaultRange(range).drawKinds(new Random(seed));
			assertThat(kinds).isNotEmpty();
			drawn.addAll(kinds);
		}
		return drawn;
	}

	@Example
	void playsTheKindsThatAreNamed() {
		assertThat(new FaultRange("reset_all,PAUSE_MANY").drawKinds(new Random(1)))
			.containsExactly(Fault.Kind.RESET_ALL, Fault.Kind.PAUSE_MANY);
	}

}
