package io.coriandermux.proof.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The external events of a run and its expected outcomes. The text format has the lines
 * {@code seed <n>} and {@code end <milliseconds>}, a line for each event (see
 * {@link TraceEvent}) and lines {@code outcome <job or edit> <outcome>}. Lines that start
 * with {@code #} are comments.
 *
 * @param seed the seed of the delays and of all other random values
 * @param endMillis simulated time at which the run ends in milliseconds
 * @param events the external events
 * @param outcomes the expected outcomes by name of job or edit
 */
public record Trace(long seed, long endMillis, List<TraceEvent> events, Map<String, String> outcomes) {

	private static final String SEED = "seed ";

	private static final String END = "end ";

	private static final String OUTCOME = "outcome ";

	/**
	 * Parses a trace.
	 * @param text the text of the trace
	 * @return the trace
	 * @throws TraceFormatException if a line is malformed
	 */
	public static Trace parse(String text) throws TraceFormatException {
		long seed = 0;
		long end = 0;
		List<TraceEvent> events = new ArrayList<>();
		Map<String, String> outcomes = new TreeMap<>();
		for (String line : text.lines().map(String::strip).toList()) {
			if (line.isEmpty() || line.startsWith("#")) {
				continue;
			}
			if (line.startsWith(SEED)) {
				seed = parseNumber(line.substring(SEED.length()));
			}
			else if (line.startsWith(END)) {
				end = parseNumber(line.substring(END.length()));
			}
			else if (line.startsWith(OUTCOME)) {
				String[] words = line.split(" +", 3);
				outcomes.put(words[1], (words.length > 2) ? words[2] : "");
			}
			else {
				events.add(TraceEvent.parse(line));
			}
		}
		return new Trace(seed, end, events, outcomes);
	}

	private static long parseNumber(String text) throws TraceFormatException {
		try {
			return Long.parseLong(text.strip());
		}
		catch (NumberFormatException ex) {
			throw new TraceFormatException("not a number: " + text, ex);
		}
	}

	/**
	 * Formats this trace without comments.
	 * @return the text, which {@link #parse} accepts
	 */
	public String format() {
		StringBuilder text = new StringBuilder();
		text.append(SEED).append(this.seed).append('\n').append(END).append(this.endMillis).append('\n');
		this.events.forEach((event) -> text.append(event).append('\n'));
		this.outcomes
			.forEach((name, outcome) -> text.append(OUTCOME).append(name).append(' ').append(outcome).append('\n'));
		return text.toString();
	}

}
