package io.coriandermux.soak;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * The kinds of faults from which the plan of a run is drawn.
 *
 * @param name {@code single} for faults of single processes, endpoints and links,
 * {@code widespread} for a part of these and of those of many processes that differs from
 * seed to seed, {@code site} for a part of all kinds, or kinds separated by commas
 */
record FaultRange(String name) {

	static final FaultRange SINGLE = new FaultRange("single");

	private static final int WIDESPREAD_PERCENT = 60;

	private static final int OTHERS_PERCENT = 15;

	private static final String WIDESPREAD = "widespread";

	private static final String ON_SITE = "site";

	boolean isSingle() {
		return equals(SINGLE);
	}

	/** Whether some kind needs callers that connect through the balancer. */
	boolean needsBalancer() {
		return this.name.equals(ON_SITE) || !isSingle() && !this.name.equals(WIDESPREAD)
				&& namedKinds().stream().anyMatch(Fault.Kind::needsBalancer);
	}

	/**
	 * Draws the kinds of one run. If all kinds were drawn in each run, the ones that act
	 * together in an incident would rarely follow each other.
	 * @param random the source of the choice, not used for a fixed set of kinds
	 * @return the kinds, at least one
	 */
	List<Fault.Kind> drawKinds(Random random) {
		List<Fault.Kind> kinds = new ArrayList<>(List.of(Fault.Kind.values()));
		if (this.name.equals(ON_SITE)) {
			kinds.removeIf((kind) -> !kind.isDrawnOnSite());
			kinds.removeIf((kind) -> random.nextInt(100) >= (kind.isOnSite() ? WIDESPREAD_PERCENT : OTHERS_PERCENT));
			return kinds.isEmpty() ? List.of(Fault.Kind.HALF_OPEN_CALLERS) : kinds;
		}
		kinds.removeIf(Fault.Kind::isOnSite);
		if (isSingle()) {
			kinds.removeIf(Fault.Kind::isWidespread);
			return kinds;
		}
		if (!this.name.equals(WIDESPREAD)) {
			return namedKinds();
		}
		kinds.removeIf((kind) -> random.nextInt(100) >= (kind.isWidespread() ? WIDESPREAD_PERCENT : OTHERS_PERCENT));
		return kinds.isEmpty() ? List.of(Fault.Kind.RESET_ALL) : kinds;
	}

	private List<Fault.Kind> namedKinds() {
		return Arrays.stream(this.name.toUpperCase(Locale.ROOT).split(",")).map(Fault.Kind::valueOf).toList();
	}

}
