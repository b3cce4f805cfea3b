package io.coriandermux.daemon.run;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;

/**
 * Reads the values under a prefix of the store. Other writers may have written any of
 * them, so a value that cannot be read for whatever reason is skipped and the others are
 * returned. Values that have not changed since the previous call are not parsed again:
 * when a fleet starts, the parsing time would grow with the square of their number. The
 * class is thread-safe.
 *
 * @param <T> type of the values
 */
public final class StoreValueReader<T> {

	/** Counter of the values that were skipped. */
	public static final String MALFORMED_COUNTER = "values.malformed";

	private final Parser<T> parser;

	private final EventLog log;

	private final ProcessMetrics metrics;

	/** Results of the previous call by key. */
	private Map<String, ParsedValue<T>> parsed = Map.of();

	/**
	 * Creates a reader that has not read any value.
	 * @param parser parses a value
	 * @param log receives an event for each revision of a value that is skipped
	 * @param metrics counts these events
	 */
	public StoreValueReader(Parser<T> parser, EventLog log, ProcessMetrics metrics) {
		this.parser = parser;
		this.log = log;
		this.metrics = metrics;
	}

	/**
	 * Parses the values that have changed since the previous call.
	 * @param snapshot the values in the store
	 * @return all values that are well-formed
	 */
	public synchronized List<T> read(KvSnapshot snapshot) {
		Map<String, ParsedValue<T>> current = new LinkedHashMap<>();
		List<T> values = new ArrayList<>();
		for (KvEntry entry : snapshot.entries()) {
			ParsedValue<T> previous = this.parsed.get(entry.key());
			ParsedValue<T> value = (previous != null && previous.revision() == entry.revision()) ? previous
					: new ParsedValue<>(entry.revision(), parse(entry));
			current.put(entry.key(), value);
			value.value().ifPresent(values::add);
		}
		this.parsed = current;
		return values;
	}

	private Optional<T> parse(KvEntry entry) {
		try {
			return Optional.of(this.parser.parse(entry));
		}
		catch (MalformedValueException ex) {
			skip(entry, ex.getMessage());
		}
		catch (RuntimeException | StackOverflowError ex) {
			// A bug in the parser. If it ended the call, the process would follow none of
			// the other values either, for as long as this one is in the store.
			skip(entry, "unexpected exception: " + ex);
		}
		return Optional.empty();
	}

	private void skip(KvEntry entry, String reason) {
		this.metrics.count(MALFORMED_COUNTER);
		this.log.record(LogEvent.VALUE_MALFORMED, entry.key(), reason);
	}

	/**
	 * Parses a value.
	 *
	 * @param <T> type of the value
	 */
	@FunctionalInterface
	public interface Parser<T> {

		/**
		 * Parses a value.
		 * @param entry key and value
		 * @return the parsed value
		 * @throws MalformedValueException if the key or the value is malformed
		 */
		T parse(KvEntry entry) throws MalformedValueException;

	}

	/**
	 * A parsed value.
	 *
	 * @param <T> type of the value
	 * @param revision store revision of the value
	 * @param value the value, empty if it is malformed
	 */
	private record ParsedValue<T>(long revision, Optional<T> value) {

	}

}
