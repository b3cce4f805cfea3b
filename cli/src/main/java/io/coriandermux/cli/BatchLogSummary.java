package io.coriandermux.cli;

import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Summarizes the events of batches in the logs of entries and guards: the outcomes of the
 * batches and orders, where the time of answered batches went, and when processes started
 * or were lost.
 */
final class BatchLogSummary {

	private static final int STARTED = 1001;

	private static final int SHUTDOWN_STARTED = 1002;

	private static final int ORDER_UNANSWERED = 2506;

	private static final int BATCH_ACCEPTED = 2601;

	private static final int RUN_PLACED = 2602;

	private static final int TASK_RETRIED = 2603;

	private static final int BATCH_ENDED = 2604;

	private static final int BATCH_REFUSED = 2605;

	private static final int PEER_LOST = 4002;

	/** Events that show when processes start, end or are lost. */
	private static final Set<Integer> PROCESS_EVENTS = Set.of(STARTED, SHUTDOWN_STARTED, PEER_LOST);

	private static final long WINDOW_MILLIS = 2_000;

	private static final Pattern ROUTE = Pattern.compile("route (\\S+) of version");

	private static final Pattern LATEST_START = Pattern.compile("latest start in (-?\\d+) ms");

	/** The first word after the name of the event, such as an outcome or a verdict. */
	private static final Pattern FIRST_WORD = Pattern.compile("^[A-Z_]+: (\\w+)");

	private static final Pattern NUMBER = Pattern.compile("-?\\d+");

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, BatchTimes> open = new LinkedHashMap<>();

	private final Map<String, Integer> verdicts = new TreeMap<>();

	private final Map<String, Integer> refusals = new TreeMap<>();

	private final Map<String, Integer> retries = new TreeMap<>();

	private final Map<String, RouteTimes> routes = new TreeMap<>();

	private final Map<Long, Map<String, Integer>> windows = new TreeMap<>();

	private final Map<String, String> processEvents = new LinkedHashMap<>();

	private long firstMillis = Long.MIN_VALUE;

	private int orders;

	private int unansweredOrders;

	private int skippedLines;

	/**
	 * Adds a line of a log. Text before the JSON object, such as the name of a process,
	 * is ignored.
	 * @param line the line
	 */
	void add(String line) {
		Optional<JsonNode> event = parse(line);
		Optional<Long> millis = event.flatMap(BatchLogSummary::millis);
		if (millis.isEmpty()) {
			this.skippedLines++;
			return;
		}
		if (this.firstMillis == Long.MIN_VALUE) {
			this.firstMillis = millis.get();
		}
		add(event.get().path("event").asInt(), event.get(), millis.get());
	}

	private Optional<JsonNode> parse(String line) {
		int start = line.indexOf('{');
		if (start < 0) {
			return Optional.empty();
		}
		try {
			return Optional.of(this.mapper.readTree(line.substring(start)));
		}
		catch (JsonProcessingException ex) {
			// Such a line is counted as skipped, which the summary reports.
			return Optional.empty();
		}
	}

	private static Optional<Long> millis(JsonNode event) {
		try {
			return Optional.of(Instant.parse(event.path("time").asText()).toEpochMilli());
		}
		catch (DateTimeParseException ex) {
			// Such a line is counted as skipped, which the summary reports.
			return Optional.empty();
		}
	}

	private void add(int event, JsonNode record, long millis) {
		String subject = record.path("subject").asText();
		String message = record.path("message").asText();
		switch (event) {
			case BATCH_ACCEPTED -> {
				long latestStart = find(LATEST_START, message).map(Long::parseLong).orElse(0L);
				this.open.put(subject, new BatchTimes(find(ROUTE, message).orElse("?"), millis, millis + latestStart));
				count(millis, "accepted");
			}
			case RUN_PLACED -> {
				this.orders++;
				Optional.ofNullable(this.open.get(batchOf(subject))).ifPresent((batch) -> batch.onOrder(millis));
				count(millis, "orders");
			}
			case TASK_RETRIED -> {
				String outcome = find(FIRST_WORD, message).orElse("?");
				this.retries.merge(outcome, 1, Integer::sum);
				count(millis, "retries");
			}
			case BATCH_ENDED -> {
				String verdict = find(FIRST_WORD, message).orElse("?");
				this.verdicts.merge(verdict, 1, Integer::sum);
				count(millis, verdict.toLowerCase(Locale.ROOT));
				Optional.ofNullable(this.open.remove(subject))
					.ifPresent((batch) -> this.routes.computeIfAbsent(batch.route, (key) -> new RouteTimes())
						.add(batch, millis));
				if (verdict.equals("OVERLOADED")) {
					countRefusal(message);
				}
			}
			case BATCH_REFUSED -> {
				countRefusal(message);
				count(millis, "refused");
			}
			case ORDER_UNANSWERED -> this.unansweredOrders++;
			default -> {
				if (PROCESS_EVENTS.contains(event)) {
					this.processEvents.merge(seconds(millis) + " s " + record.path("process").asText(), message,
							(first, second) -> first + "; " + second);
				}
			}
		}
	}

	private void countRefusal(String message) {
		int reason = message.lastIndexOf(": ");
		this.refusals.merge(NUMBER.matcher(message.substring(reason + 2)).replaceAll("N"), 1, Integer::sum);
	}

	private static String batchOf(String run) {
		int end = run.indexOf('.');
		return (end < 0) ? run : run.substring(0, end);
	}

	private static Optional<String> find(Pattern pattern, String text) {
		Matcher matcher = pattern.matcher(text);
		return matcher.find() ? Optional.of(matcher.group(1)) : Optional.empty();
	}

	private void count(long millis, String what) {
		long window = Math.floorDiv(millis - this.firstMillis, WINDOW_MILLIS) * WINDOW_MILLIS;
		this.windows.computeIfAbsent(window, (key) -> new TreeMap<>()).merge(what, 1, Integer::sum);
	}

	private double seconds(long millis) {
		return (millis - this.firstMillis) / 1e3;
	}

	/**
	 * Returns the summary of the lines that were added.
	 * @return the summary; times are counted from the first line
	 */
	ObjectNode toJson() {
		ObjectNode json = this.mapper.createObjectNode();
		json.put("skippedLines", this.skippedLines).put("orders", this.orders);
		json.put("unansweredOrders", this.unansweredOrders).put("unfinishedBatches", this.open.size());
		json.set("endsByVerdict", this.mapper.valueToTree(this.verdicts));
		json.set("refusalsByReason", this.mapper.valueToTree(this.refusals));
		json.set("retriesByOutcome", this.mapper.valueToTree(this.retries));
		ObjectNode byRoute = json.putObject("routes");
		this.routes.forEach((route, times) -> byRoute.set(route, times.toJson(this.mapper)));
		ObjectNode byWindow = json.putObject("windows");
		this.windows.forEach((start, counts) -> byWindow.set(start + " ms", this.mapper.valueToTree(counts)));
		json.set("processes", this.mapper.valueToTree(this.processEvents));
		return json;
	}

	/** Times of a batch in milliseconds since 1970. */
	private static final class BatchTimes {

		private final String route;

		private final long arrived;

		private final long latestStart;

		private long firstOrder;

		private long lastOrder;

		BatchTimes(String route, long arrived, long latestStart) {
			this.route = route;
			this.arrived = arrived;
			this.latestStart = latestStart;
		}

		void onOrder(long millis) {
			this.firstOrder = (this.firstOrder == 0) ? millis : this.firstOrder;
			this.lastOrder = millis;
		}

	}

	/** Sums over the batches of a route of which a task was sent to a guard. */
	private static final class RouteTimes {

		private int batches;

		private int startedLate;

		private long waitMillis;

		private long orderMillis;

		private long runMillis;

		void add(BatchTimes batch, long endMillis) {
			if (batch.firstOrder == 0) {
				return;
			}
			this.batches++;
			this.startedLate += (batch.lastOrder > batch.latestStart) ? 1 : 0;
			this.waitMillis += batch.firstOrder - batch.arrived;
			this.orderMillis += batch.lastOrder - batch.firstOrder;
			this.runMillis += endMillis - batch.lastOrder;
		}

		ObjectNode toJson(ObjectMapper mapper) {
			ObjectNode json = mapper.createObjectNode().put("batches", this.batches);
			int divisor = Math.max(1, this.batches);
			json.put("lastOrderAfterLatestStart", this.startedLate);
			json.put("meanMillisToFirstOrder", this.waitMillis / divisor);
			json.put("meanMillisFromFirstToLastOrder", this.orderMillis / divisor);
			return json.put("meanMillisFromLastOrderToEnd", this.runMillis / divisor);
		}

	}

}
