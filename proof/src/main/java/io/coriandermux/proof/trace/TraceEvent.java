package io.coriandermux.proof.trace;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * An external event of a run: an action of a caller or an operator, or a fault. It is
 * triggered at a time ({@code at <milliseconds>}) or by the n-th occurrence of a step
 * ({@code when <step> <n>}).
 *
 * @param kind {@code at} or {@code when}
 * @param step the step in lower case, empty for {@code at}
 * @param number the time in milliseconds for {@code at}, the occurrence of the step for
 * {@code when}
 * @param action the action, such as {@code submit} or {@code kill}
 * @param arguments the arguments of the action by name
 */
public record TraceEvent(String kind, String step, long number, String action, Map<String, String> arguments) {

	private static final String AT = "at";

	private static final String WHEN = "when";

	/**
	 * Creates an event that is triggered at a time.
	 * @param millis the simulated time in milliseconds
	 * @param action the action, such as {@code submit} or {@code kill}
	 * @param arguments the arguments as {@code name=value}, separated by spaces
	 * @return the event
	 */
	public static TraceEvent at(long millis, String action, String arguments) {
		return new TraceEvent(AT, "", millis, action, parseArguments(arguments));
	}

	/**
	 * Creates an event that is triggered by a step.
	 * @param step the step in lower case
	 * @param occurrence the occurrence of the step, counted from 1
	 * @param action the action, such as {@code submit} or {@code kill}
	 * @param arguments the arguments as {@code name=value}, separated by spaces
	 * @return the event
	 */
	public static TraceEvent when(String step, long occurrence, String action, String arguments) {
		return new TraceEvent(WHEN, step, occurrence, action, parseArguments(arguments));
	}

	/**
	 * Parses the line of an event.
	 * @param line the line
	 * @return the event
	 * @throws TraceFormatException if the line is malformed
	 */
	public static TraceEvent parse(String line) throws TraceFormatException {
		String[] words = line.trim().split(" +");
		try {
			if (words[0].equals(AT)) {
				return at(Long.parseLong(words[1]), words[2], joinFrom(words, 3));
			}
			if (words[0].equals(WHEN)) {
				return when(words[1], Long.parseLong(words[2]), words[3], joinFrom(words, 4));
			}
		}
		catch (IndexOutOfBoundsException | NumberFormatException ex) {
			throw new TraceFormatException("malformed event: " + line, ex);
		}
		throw new TraceFormatException("malformed event: " + line, null);
	}

	private static String joinFrom(String[] words, int from) {
		return String.join(" ", Arrays.asList(words).subList(from, words.length));
	}

	private static Map<String, String> parseArguments(String text) {
		Map<String, String> parsed = new LinkedHashMap<>();
		for (String word : text.trim().split(" +")) {
			int separator = word.indexOf('=');
			if (separator > 0) {
				parsed.put(word.substring(0, separator), word.substring(separator + 1));
			}
		}
		return parsed;
	}

	/**
	 * Returns whether the event is triggered by a step.
	 * @return false if it is triggered at a time
	 */
	public boolean isTriggeredByStep() {
		return this.kind.equals(WHEN);
	}

	/**
	 * Returns the text of an argument.
	 * @param name the name of the argument
	 * @param defaultValue the default value
	 * @return the value, or the default value if the argument is absent
	 */
	public String text(String name, String defaultValue) {
		return this.arguments.getOrDefault(name, defaultValue);
	}

	/**
	 * Returns the value of a numeric argument.
	 * @param name the name of the argument
	 * @param defaultValue the default value
	 * @return the value, or the default value if the argument is absent
	 */
	public long number(String name, long defaultValue) {
		String value = this.arguments.get(name);
		return (value != null) ? Long.parseLong(value) : defaultValue;
	}

	@Override
	public String toString() {
		String trigger = isTriggeredByStep() ? WHEN + " " + this.step + " " + this.number : AT + " " + this.number;
		String formattedArguments = this.arguments.entrySet()
			.stream()
			.map((entry) -> " " + entry.getKey() + "=" + entry.getValue())
			.collect(Collectors.joining());
		return trigger + " " + this.action + formattedArguments;
	}

}
