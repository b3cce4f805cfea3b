package io.coriandermux.proof.fault;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

import io.coriandermux.proof.trace.TraceFormatException;

/**
 * The expected outcomes of the fault matrix, read from a text with one line
 * {@code <fault> <step> <job or edit>=<outcome> …} for each cell.
 */
public final class ExpectedOutcomes {

	private static final String RESOURCE = "/io/coriandermux/proof/fault-matrix.txt";

	private static final int FIRST_OUTCOME_INDEX = 2;

	private final Map<String, Map<String, String>> cells;

	private ExpectedOutcomes(Map<String, Map<String, String>> cells) {
		this.cells = cells;
	}

	/**
	 * Loads the committed outcomes.
	 * @return the outcomes
	 * @throws IOException if the resource cannot be read
	 * @throws TraceFormatException if a line is malformed
	 */
	public static ExpectedOutcomes load() throws IOException, TraceFormatException {
		try (InputStream in = ExpectedOutcomes.class.getResourceAsStream(RESOURCE)) {
			return parse(new String(in.readAllBytes(), StandardCharsets.UTF_8));
		}
	}

	/**
	 * Parses outcomes.
	 * @param text the text of the matrix file
	 * @return the outcomes
	 * @throws TraceFormatException if a line is malformed
	 */
	public static ExpectedOutcomes parse(String text) throws TraceFormatException {
		Map<String, Map<String, String>> cells = new LinkedHashMap<>();
		for (String line : text.lines().filter((each) -> !each.isBlank() && !each.startsWith("#")).toList()) {
			String[] words = line.split(" +");
			Map<String, String> outcomes = new TreeMap<>();
			for (int i = FIRST_OUTCOME_INDEX; i < words.length; i++) {
				int separator = words[i].indexOf('=');
				if (separator < 0) {
					throw new TraceFormatException("outcome is not <job or edit>=<outcome>: " + line, null);
				}
				outcomes.put(words[i].substring(0, separator), words[i].substring(separator + 1));
			}
			if (outcomes.isEmpty()) {
				throw new TraceFormatException("cell has no outcome: " + line, null);
			}
			cells.put(words[0] + " " + words[1], outcomes);
		}
		return new ExpectedOutcomes(cells);
	}

	/**
	 * Returns the expected outcomes of a cell.
	 * @param cell the cell
	 * @return the outcomes by name of job or edit, empty if the matrix has none
	 */
	public Map<String, String> of(MatrixCell cell) {
		return this.cells.getOrDefault(cell.label(), Map.of());
	}

	/**
	 * Selects the outcomes of a run that the matrix lists: those of single jobs and
	 * edits, not those of bursts.
	 * @param outcomes all outcomes of the run
	 * @return the outcomes without those of bursts
	 */
	public static Map<String, String> withoutBursts(Map<String, String> outcomes) {
		Map<String, String> selected = new TreeMap<>();
		outcomes.forEach((name, outcome) -> {
			if (!name.startsWith("burst-") && !name.startsWith("sized-")) {
				selected.put(name, outcome.isEmpty() ? "none" : outcome);
			}
		});
		return selected;
	}

	/**
	 * Formats the line of a cell.
	 * @param cell the cell
	 * @param outcomes its outcomes by name of job or edit
	 * @return the line
	 */
	public static String format(MatrixCell cell, Map<String, String> outcomes) {
		StringBuilder line = new StringBuilder(cell.label());
		outcomes.forEach((name, outcome) -> line.append(' ').append(name).append('=').append(outcome));
		return line.toString();
	}

}
