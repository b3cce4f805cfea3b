package io.coriandermux.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Plans of the faults of a cold run, as on the first seconds of the days of the sites.
 * Times count from the first job.
 */
enum ColdPlan {

	/**
	 * Unanswered orders, a burst, and a store that refuses a part of the processes, which
	 * overlap.
	 */
	STORE,

	/** The processes are asked to end in turn. */
	ROLL,

	/** A part of the guards is cut off from the entries and from the store. */
	CUT,

	/**
	 * A part of the callers leave early and come back, while an entry is killed and
	 * orders are not answered.
	 */
	LEAVE,

	/** The usual faults of the range. */
	DRAWN;

	/** The usual faults begin this long after the first job, in milliseconds. */
	static final long FIRST_FAULT_MILLIS = 1_000;

	private static final long ROLL_INTERVAL_MILLIS = 2_000;

	/** Selects {@code StoreStandIn.Fault.SLOW}. */
	private static final int SLOW_STORE = 3;

	/** Each fault begins up to this much later, so that seeds differ. */
	private static final int JITTER_MILLIS = 400;

	private static final int TARGETS = 1_000;

	/**
	 * Draws the faults of a plan that is not {@link #DRAWN}.
	 * @param random the source of the times and targets
	 * @param faultMillis the time during which faults last, in milliseconds
	 * @param entries number of entries
	 * @param guards number of guards
	 * @return the faults
	 */
	List<Fault> draw(Random random, long faultMillis, int entries, int guards) {
		List<Fault> plan = new ArrayList<>();
		switch (this) {
			case STORE -> {
				plan.add(new Fault(500, Fault.Kind.BURST, 0, 4_000));
				plan.add(new Fault(1_500, Fault.Kind.UNANSWERED_ORDERS, random.nextInt(TARGETS), 5_400));
				plan.add(new Fault(2_500, Fault.Kind.REFUSE_STORE, random.nextInt(TARGETS), 9_000));
				// The configuration changes while a part of the entries can't read it,
				// and
				// when they can again.
				plan.add(new Fault(4_500, Fault.Kind.CONFIGURE, 0, 0));
				plan.add(new Fault(11_600, Fault.Kind.CONFIGURE, 0, 0));
			}
			case ROLL -> {
				List<Integer> numbers = IntStream.range(0, entries + guards).boxed().collect(Collectors.toList());
				Collections.shuffle(numbers, random);
				for (int number : numbers) {
					plan.add(new Fault(FIRST_FAULT_MILLIS + plan.size() * ROLL_INTERVAL_MILLIS,
							(number < entries) ? Fault.Kind.STOP_ENTRY : Fault.Kind.STOP_GUARD,
							(number < entries) ? number : number - entries, 0));
				}
				plan.add(new Fault(11_000, Fault.Kind.STORE, SLOW_STORE, 4_200));
			}
			case CUT -> {
				plan.add(new Fault(1_000, Fault.Kind.CUT_GUARDS, random.nextInt(TARGETS), 12_000));
				plan.add(new Fault(3_000, Fault.Kind.CONFIGURE, 0, 0));
				plan.add(new Fault(3_800, Fault.Kind.BURST, 0, 4_000));
				plan.add(new Fault(13_100, Fault.Kind.CONFIGURE, 0, 0));
			}
			case LEAVE -> {
				plan.add(new Fault(500, Fault.Kind.BURST, 0, 4_000));
				plan.add(new Fault(1_000, Fault.Kind.GIVE_UP, random.nextInt(TARGETS), 6_000));
				plan.add(new Fault(3_000, Fault.Kind.KILL_ENTRY, random.nextInt(TARGETS), 8_000));
				plan.add(new Fault(4_100, Fault.Kind.UNANSWERED_ORDERS, random.nextInt(TARGETS), 5_900));
			}
			default -> throw new IllegalStateException("the faults of this plan are drawn from the range");
		}
		plan.removeIf((fault) -> fault.atMillis() + JITTER_MILLIS >= faultMillis);
		plan.replaceAll((fault) -> {
			long atMillis = fault.atMillis() + random.nextInt(JITTER_MILLIS);
			return new Fault(atMillis, fault.kind(), fault.target(),
					Math.min(fault.forMillis(), faultMillis - atMillis));
		});
		return plan;
	}

}
