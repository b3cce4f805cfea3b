package io.coriandermux.daemon.batch;

import java.time.Duration;
import java.util.regex.Pattern;

import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.daemon.run.JsonInput;
import io.coriandermux.daemon.run.MalformedValueException;

/**
 * Ranges of the fields of an endpoint's report. A report outside of them is from another
 * writer. The decisions compare and add these fields without further checks: after a
 * start time or sequence that is too high they would ignore every report of the real
 * endpoint as stale, and sums of amounts would overflow.
 */
final class ReportLimits {

	/**
	 * Largest amount of a resource. The sum of a million such amounts fits into 64 bits.
	 */
	static final long MAX_AMOUNT = 1L << 40;

	/** A thousand heartbeats per second reach it after 34 years. */
	static final long MAX_SEQUENCE = 1L << 40;

	/** Longest pool name or label; links refuse names above 512 bytes of UTF-8. */
	static final int MAX_NAME_CHARACTERS = 128;

	/** Maximum number of labels; an endpoint has two. */
	static final int MAX_LABELS = 64;

	private static final long DAY_MILLIS = Duration.ofDays(1).toMillis();

	/**
	 * How far the start of an endpoint may lie ahead of the clock of its guard. It only
	 * has to be far above the difference of two clocks that are set at all.
	 */
	static final long MAX_CLOCK_DIFFERENCE_MILLIS = 365 * DAY_MILLIS;

	/** Ids are sent in a header, so they consist of visible ASCII characters. */
	private static final Pattern ID = Pattern.compile("[!-~]{1,128}");

	private ReportLimits() {
	}

	/**
	 * Checks a report.
	 * @param report the report
	 * @param nowEpochMillis the current time in milliseconds since 1970
	 * @throws MalformedValueException if a field is outside of its range
	 */
	static void check(EndpointReport report, long nowEpochMillis) throws MalformedValueException {
		String id = report.incarnation().id();
		if (!ID.matcher(id).matches()) {
			throw new MalformedValueException("id: 1 to 128 visible ASCII characters are expected");
		}
		long startedAtMillis = report.incarnation().startedAtMillis();
		if (startedAtMillis < 0 || startedAtMillis > nowEpochMillis + MAX_CLOCK_DIFFERENCE_MILLIS) {
			throw new MalformedValueException("the start time " + startedAtMillis + " is out of range");
		}
		if (report.sequence() < 0 || report.sequence() > MAX_SEQUENCE) {
			throw new MalformedValueException("the sequence " + report.sequence() + " is out of range");
		}
		checkName("pool", report.pool().value());
		if (report.labels().size() > MAX_LABELS) {
			throw new MalformedValueException(
					report.labels().size() + " labels where at most " + MAX_LABELS + " are expected");
		}
		for (String label : report.labels()) {
			checkName("label", label);
		}
		ResourceAmounts capacity = report.capacity();
		checkAmount("millicores", capacity.millicores());
		checkAmount("memoryMb", capacity.memoryMb());
		checkAmount("accelerators", capacity.accelerators());
	}

	private static void checkName(String kind, String value) throws MalformedValueException {
		if (value.length() > MAX_NAME_CHARACTERS) {
			throw new MalformedValueException(
					kind + " " + JsonInput.quote(value) + ": more than " + MAX_NAME_CHARACTERS + " characters");
		}
	}

	private static void checkAmount(String resource, long amount) throws MalformedValueException {
		if (amount < 0 || amount > MAX_AMOUNT) {
			throw new MalformedValueException(resource + ": the amount " + amount + " is out of range");
		}
	}

}
