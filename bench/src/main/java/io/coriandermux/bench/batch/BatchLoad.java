package io.coriandermux.bench.batch;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A load of batches, the endpoints that serve it and the faults of a run.
 *
 * @param kinds the kinds of batches
 * @param entryShares share of the arrivals at each entry
 * @param endpoints the endpoints
 * @param seconds length of the arrivals in seconds
 * @param waveSwing relative amplitude of the wave of arrivals, from 0 to 1
 * @param waveSeconds period of that wave in seconds
 * @param bursts times with more arrivals
 * @param declaredError standard deviation of the logarithm of the error of declared run
 * times
 * @param lateOrderShare share of the orders that an endpoint leaves unanswered and
 * carries out later
 * @param powerLoss loss of all entries and guards during the run
 */
public record BatchLoad(List<BatchKind> kinds, List<Double> entryShares, List<EndpointModel> endpoints, int seconds,
		double waveSwing, double waveSeconds, List<Burst> bursts, double declaredError, double lateOrderShare,
		PowerLoss powerLoss) {

	private static final String STANDARD = "standard-load.json";

	private static final String PATTERNS = "patterns.json";

	/**
	 * Reads the standard load: short, medium and long batches in waves on eleven
	 * endpoints, of which three are half as fast as the others.
	 * @return the load, without bursts and faults
	 */
	public static BatchLoad standard() {
		return parse((mapper) -> mapper.treeToValue(read(mapper, STANDARD), BatchLoad.class));
	}

	/**
	 * Reads the standard load with the bursts and faults of each pattern.
	 * @return the loads by the name of their pattern
	 */
	public static Map<String, BatchLoad> patterns() {
		return parse((mapper) -> {
			Map<String, BatchLoad> loads = new LinkedHashMap<>();
			for (JsonNode pattern : read(mapper, PATTERNS)) {
				ObjectNode load = (ObjectNode) read(mapper, STANDARD);
				load.setAll((ObjectNode) pattern);
				load.remove("name");
				loads.put(pattern.get("name").asText(), mapper.treeToValue(load, BatchLoad.class));
			}
			return loads;
		});
	}

	private static JsonNode read(ObjectMapper mapper, String resource) throws IOException {
		try (InputStream input = BatchLoad.class.getResourceAsStream(resource)) {
			return mapper.readTree(input);
		}
	}

	private static <T> T parse(Parser<T> parser) {
		try {
			return parser.parse(new ObjectMapper());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Returns this load with other entries.
	 * @param shares share of the arrivals at each entry
	 * @return the load
	 */
	public BatchLoad withEntries(Double... shares) {
		return new BatchLoad(this.kinds, List.of(shares), this.endpoints, this.seconds, this.waveSwing,
				this.waveSeconds, this.bursts, this.declaredError, this.lateOrderShare, this.powerLoss);
	}

	/**
	 * Returns this load on other endpoints.
	 * @param newEndpoints the endpoints
	 * @return the load
	 */
	public BatchLoad withEndpoints(List<EndpointModel> newEndpoints) {
		return new BatchLoad(this.kinds, this.entryShares, newEndpoints, this.seconds, this.waveSwing, this.waveSeconds,
				this.bursts, this.declaredError, this.lateOrderShare, this.powerLoss);
	}

	/**
	 * Returns this load several times, on as many times the endpoints and entries.
	 * @param factor the factor
	 * @return the load
	 */
	public BatchLoad scaled(int factor) {
		List<BatchKind> more = this.kinds.stream()
			.map((kind) -> new BatchKind(kind.name(), factor * kind.ratePerSecond(), kind.worth(), kind.taskMillis(),
					kind.spread(), kind.width(), kind.millicores()))
			.toList();
		List<EndpointModel> moreEndpoints = new ArrayList<>();
		List<Double> moreEntries = new ArrayList<>();
		for (int i = 0; i < factor; i++) {
			moreEndpoints.addAll(this.endpoints);
			this.entryShares.forEach((share) -> moreEntries.add(share / factor));
		}
		return new BatchLoad(more, moreEntries, Collections.unmodifiableList(moreEndpoints), this.seconds,
				this.waveSwing, this.waveSeconds, this.bursts, this.declaredError, this.lateOrderShare, this.powerLoss);
	}

	/**
	 * An endpoint.
	 *
	 * @param millicores its capacity
	 * @param speed its speed; a task of a second runs for a second at speed 1
	 */
	public record EndpointModel(long millicores, double speed) {

	}

	/**
	 * A time with more arrivals.
	 *
	 * @param kind the kind that arrives more often, empty for all kinds
	 * @param startSeconds start in seconds
	 * @param seconds length in seconds
	 * @param factor multiple of the arrivals
	 */
	public record Burst(String kind, double startSeconds, double seconds, double factor) {

	}

	/**
	 * Loss of all entries and guards.
	 *
	 * @param atSeconds time of the loss, negative for none
	 * @param entryDownSeconds time after which the entries serve again
	 * @param guardDownSeconds time after which the first guard serves again
	 * @param guardStepSeconds time between the starts of two guards
	 */
	public record PowerLoss(double atSeconds, double entryDownSeconds, double guardDownSeconds,
			double guardStepSeconds) {

	}

	@FunctionalInterface
	private interface Parser<T> {

		T parse(ObjectMapper mapper) throws IOException;

	}

}
