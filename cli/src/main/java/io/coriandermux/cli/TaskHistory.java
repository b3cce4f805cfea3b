package io.coriandermux.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Collects the records of one task from the logs of several processes, in the order of
 * time: the records that name the task or its batch, and those of the same processes that
 * show their starts and losses around that time.
 */
final class TaskHistory {

	/**
	 * Events that concern all runs of a process: starts, standstills, lost peers, and
	 * what happened to the endpoint and its fencing token or to the keepers of claims.
	 */
	private static final Set<Integer> PROCESS_EVENTS = Set.of(1001, 1002, 1003, 1007, 1008, 2301, 2302, 2501, 2502,
			2508, 2509, 2511, 2512, 2514, 2515, 2608, 2732, 4001, 4002, 4003);

	/**
	 * Records of a process belong to the history up to this time before the first and
	 * after the last record of the task. A caller submits a lost batch again after 1.3 s,
	 * and a late order is carried out some seconds later.
	 */
	private static final long CONTEXT_MILLIS = 5_000;

	private static final Pattern TASK = Pattern.compile("(.+?)\\.\\d+\\.\\d+(#\\d+)?");

	private final ObjectMapper mapper = new ObjectMapper();

	private final String task;

	private final String batch;

	private final Pattern mention;

	private final List<Line> taskLines = new ArrayList<>();

	private final List<Line> processLines = new ArrayList<>();

	private int skippedLines;

	/**
	 * Creates an empty history.
	 * @param task id of a task, {@code BATCH.PHASE.INDEX}, or of a batch
	 */
	TaskHistory(String task) {
		Matcher matcher = TASK.matcher(task);
		this.task = task;
		this.batch = matcher.matches() ? matcher.group(1) : task;
		this.mention = Pattern.compile("(?<![\\w.-])" + Pattern.quote(task) + "(?![\\w-])");
	}

	/**
	 * Adds the contents of a file: the lines of a log, or the events that a process shows
	 * at its operators' port.
	 * @param file name of the file, which is the name of the process of such events
	 * @param content the contents
	 */
	void add(String file, String content) {
		if (content.stripLeading().startsWith("[")) {
			addEvents(file, content);
			return;
		}
		content.lines().forEach(this::addLine);
	}

	private void addEvents(String file, String content) {
		try {
			this.mapper.readTree(content)
				.forEach((event) -> add(new Line(event.path("epochMillis").asLong(), event.path("number").asInt(), file,
						event.path("subject").asText(),
						event.path("name").asText() + ": " + event.path("detail").asText())));
		}
		catch (JsonProcessingException ex) {
			// The history reports the file as one skipped line.
			this.skippedLines++;
		}
	}

	private void addLine(String line) {
		int start = line.indexOf('{');
		if (start < 0) {
			this.skippedLines++;
			return;
		}
		try {
			JsonNode record = this.mapper.readTree(line.substring(start));
			add(new Line(Instant.parse(record.path("time").asText()).toEpochMilli(), record.path("event").asInt(),
					record.path("process").asText(), record.path("subject").asText(), record.path("message").asText()));
		}
		catch (JsonProcessingException | DateTimeParseException ex) {
			// The history reports the number of such lines.
			this.skippedLines++;
		}
	}

	private void add(Line line) {
		if (line.subject.equals(this.batch) || this.mention.matcher(line.subject).find()
				|| this.mention.matcher(line.message).find()) {
			this.taskLines.add(line);
		}
		else if (PROCESS_EVENTS.contains(line.event)) {
			this.processLines.add(line);
		}
	}

	/**
	 * Returns the history.
	 * @return the history
	 */
	ObjectNode toJson() {
		List<Line> lines = new ArrayList<>(this.taskLines);
		Set<String> processes = new LinkedHashSet<>();
		this.taskLines.forEach((line) -> processes.add(line.process));
		long first = this.taskLines.stream().mapToLong(Line::millis).min().orElse(0) - CONTEXT_MILLIS;
		long last = this.taskLines.stream().mapToLong(Line::millis).max().orElse(0) + CONTEXT_MILLIS;
		this.processLines.stream()
			.filter((line) -> processes.contains(line.process) && line.millis >= first && line.millis <= last)
			.forEach(lines::add);
		ObjectNode json = this.mapper.createObjectNode().put("task", this.task);
		ArrayNode history = json.putArray("history");
		lines.stream()
			.sorted(Comparator.comparingLong(Line::millis))
			.forEach((line) -> history.addObject()
				.put("time", Instant.ofEpochMilli(line.millis).toString())
				.put("process", line.process)
				.put("event", line.event)
				.put("subject", line.subject)
				.put("message", line.message));
		return json.put("skippedLines", this.skippedLines);
	}

	/**
	 * A record of a log or an event of an operators' port.
	 *
	 * @param millis time in milliseconds since 1970
	 * @param event number of the event
	 * @param process name of the process
	 * @param subject what the event is about
	 * @param message name and details of the event
	 */
	private record Line(long millis, int event, String process, String subject, String message) {

	}

}
