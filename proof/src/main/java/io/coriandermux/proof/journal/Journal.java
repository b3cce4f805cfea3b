package io.coriandermux.proof.journal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.Stream;

/**
 * The observations of one run in the order in which they were recorded.
 */
public final class Journal {

	private final List<Observation> observations = new ArrayList<>();

	private long endNanos;

	/**
	 * Appends an observation.
	 * @param observation the observation
	 */
	public void add(Observation observation) {
		this.observations.add(observation);
	}

	/**
	 * Records the end of the run.
	 * @param atNanos simulated time in nanoseconds
	 */
	public void recordEnd(long atNanos) {
		this.endNanos = atNanos;
	}

	/**
	 * Returns the time at which the run ended.
	 * @return simulated time in nanoseconds
	 */
	public long endNanos() {
		return this.endNanos;
	}

	/**
	 * Returns all observations.
	 * @return the observations in order
	 */
	public List<Observation> all() {
		return Collections.unmodifiableList(this.observations);
	}

	/**
	 * Returns the observations of one type.
	 * @param type the class of the observations
	 * @param <T> the type of the observations
	 * @return the observations in order
	 */
	public <T extends Observation> Stream<T> ofType(Class<T> type) {
		return this.observations.stream().filter(type::isInstance).map(type::cast);
	}

}
