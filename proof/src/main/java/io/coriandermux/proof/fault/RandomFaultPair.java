package io.coriandermux.proof.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;

import io.coriandermux.proof.simulation.Step;
import io.coriandermux.proof.trace.Trace;
import io.coriandermux.proof.trace.TraceEvent;

/**
 * A random pair of faults, injected at random steps or times under a random workload. The
 * same seed gives the same pair, steps and workload.
 *
 * @param seed the seed
 * @param first the first fault
 * @param second the second fault
 * @param trace the trace of the run, without expected outcomes
 */
public record RandomFaultPair(long seed, Fault first, Fault second, Trace trace) {

	private static final long SECOND_MILLIS = 1000;

	private static final long FIRST_JOB_MILLIS = 6000;

	private static final long LAST_JOB_MILLIS = 13_000;

	private static final long LAST_FAULT_MILLIS = 14_000;

	private static final long END_MILLIS = 75_000;

	/** The longest fault lasts 10 s. It starts by 14 s or at a step of the probe. */
	private static final long FAULTS_END_MILLIS = 29_000;

	private static final int JOBS = 8;

	private static final int MAX_OCCURRENCE = 3;

	private static final List<String> ID_FORMS = List.of("issued", "time", "free");

	/**
	 * Generates the pair for a seed.
	 * @param seed the seed
	 * @return the pair
	 */
	public static RandomFaultPair of(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		Fault first = Fault.values()[random.nextInt(Fault.values().length)];
		Fault second = Fault.values()[random.nextInt(Fault.values().length)];
		List<TraceEvent> events = new ArrayList<>();
		events.add(randomJob(random, "probe", FIRST_JOB_MILLIS));
		for (int i = 0; i < JOBS; i++) {
			events.add(randomJob(random, "job" + i, random.nextLong(FIRST_JOB_MILLIS - 100, LAST_JOB_MILLIS)));
		}
		events.add(TraceEvent.at(random.nextLong(FIRST_JOB_MILLIS, LAST_JOB_MILLIS), "edit",
				"name=edit-a owner=guild quota=" + random.nextInt(1, 100)));
		addFault(random, first, events);
		addFault(random, second, events);
		addDrainOrShutdown(random, events);
		events.add(TraceEvent.at(FAULTS_END_MILLIS, "faults-end", ""));
		return new RandomFaultPair(seed, first, second,
				new Trace(random.nextLong(Long.MAX_VALUE), END_MILLIS, events, Map.of()));
	}

	private static TraceEvent randomJob(SplittableRandom random, String name, long millis) {
		boolean guild = random.nextInt(3) > 0;
		StringBuilder plan = new StringBuilder("name=" + name);
		plan.append(" owner=").append(guild ? "guild" : "configurator");
		plan.append(" form=").append(ID_FORMS.get(random.nextInt(ID_FORMS.size())));
		plan.append(" tasks=").append(random.nextInt(1, 8)).append(" run=").append(random.nextLong(100, SECOND_MILLIS));
		if (guild && random.nextInt(8) == 0) {
			plan.append(" path=/own");
		}
		if (random.nextInt(3) == 0) {
			plan.append(" impatient=").append(random.nextLong(100, 4 * SECOND_MILLIS));
		}
		if (random.nextInt(8) == 0) {
			plan.append(" cancel=").append(random.nextLong(100, 2 * SECOND_MILLIS));
		}
		if (random.nextInt(4) == 0) {
			plan.append(" replays=2 gap=").append(random.nextLong(100, 8 * SECOND_MILLIS));
		}
		if (random.nextInt(4) == 0) {
			plan.append(" deadline=").append(random.nextLong(SECOND_MILLIS, 8 * SECOND_MILLIS));
		}
		if (random.nextInt(4) == 0) {
			plan.append(" once=1");
		}
		return TraceEvent.at(millis, "submit", plan.toString());
	}

	private static void addFault(SplittableRandom random, Fault fault, List<TraceEvent> events) {
		if (random.nextBoolean()) {
			Step step = Step.values()[random.nextInt(Step.values().length)];
			events.addAll(
					fault.eventsAtStep(step.name().toLowerCase(Locale.ROOT), random.nextInt(1, MAX_OCCURRENCE + 1)));
		}
		else {
			events.addAll(fault.eventsAtTime(random.nextLong(100, LAST_FAULT_MILLIS)));
		}
	}

	// In one run of four, a guard is also requested to drain or an entry to stop
	// gracefully.
	private static void addDrainOrShutdown(SplittableRandom random, List<TraceEvent> events) {
		long millis = random.nextLong(FIRST_JOB_MILLIS, LAST_FAULT_MILLIS);
		switch (random.nextInt(8)) {
			case 0 -> events.add(TraceEvent.at(millis, "drain", "target=g" + random.nextInt(1, 4) + " grace=10000"));
			case 1 -> events.add(TraceEvent.at(millis, "shutdown", "target=e" + random.nextInt(1, 4)));
			default -> {
			}
		}
	}

}
