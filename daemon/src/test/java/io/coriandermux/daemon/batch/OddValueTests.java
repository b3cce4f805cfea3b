package io.coriandermux.daemon.batch;

import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.IntStream;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.core.lease.EndpointIncarnation;
import io.coriandermux.core.lease.EndpointReport;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.log.RecentEvent;
import io.coriandermux.daemon.run.MalformedValueException;
import io.coriandermux.daemon.run.ProcessMetrics;
import io.coriandermux.daemon.run.StoreValueReader;
import io.coriandermux.daemon.run.StoreValues;
import io.coriandermux.store.KvEntry;
import io.coriandermux.store.KvSnapshot;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.SystemTime;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a value of another writer in the store that ends a process or a thread,
 * hides the other values, or is used although it is out of range.
 */
class OddValueTests {

	/** Stack size of the deployment (-Xss256k in deploy/system.toml). */
	private static final long STACK_BYTES = 256 * 1024;

	private static final long NOW = 1_000_000;

	private static final Member GUARD = new Member(new PeerName(PeerRole.GUARD, "guard-1"), new Incarnation(7),
			new PeerAddress("10.1.0.14", 7720), 2);

	private static final EndpointReport REPORT = new EndpointReport(new EndpointIncarnation("i-1", 17), 4,
			new PoolName("orders"), Set.of("a"), new ResourceAmounts(64_000, 1024, 2), false);

	private static final KvEntry ANNOUNCEMENT = AnnouncementFormat.write(GUARD, Optional.of(REPORT));

	private static final KvEntry PRODUCT_ANNOUNCEMENT = StoreValues
		.encode(new GuardInfo(new GuardId("guard-1"), new Incarnation(7), "10.1.0.14", 7720, new ZoneName("zone"),
				new RackName("rack"), new EndpointName("e-1"), 4, new Resources(1, 2, 3)));

	/** Values that replace the value of a field. */
	private static final List<String> ODD_VALUES = List.of("null", "true", "-1", "0", "65536", "0.5", "1e999", "-1e999",
			"9223372036854775807", "-9223372036854775808", "9223372036854775808", "1".repeat(50), "1".repeat(100_000),
			"\"\"", "\" \"", "\"x\"", "\"\\u0000\\n\"", "\"guard.invalid\"", "\"" + "1".repeat(100_000) + "\"", "[]",
			"{}", "[".repeat(31) + "]".repeat(31), "[".repeat(900) + "]".repeat(900), "[".repeat(100_000),
			"{\"a\":".repeat(100_000), "\uFFFD");

	private static final Map<String, List<String>> FIELDS = Map.of(ANNOUNCEMENT.value(),
			List.of("address", "port", "incarnation", "endpoint", "id", "born", "sequence", "pool", "millicores",
					"memoryMb", "accelerators", "labels"),
			PRODUCT_ANNOUNCEMENT.value(), List.of("address", "port", "incarnation", "zone", "rack", "endpoint", "slots",
					"capacity", "cores", "memoryMb", "accelerators"));

	private final EventLog log = new EventLog("entry", new SystemTime(Clock.systemUTC()));

	private final ProcessMetrics metrics = new ProcessMetrics();

	@Property(seed = "21", tries = 1500)
	void aFieldWithAnyValueIsReadOrRefused(@ForAll("oddFields") String value) {
		onDeploymentStack(() -> checkAll(value));
	}

	@Property(seed = "22", tries = 1500)
	void aDamagedValueIsReadOrRefused(@ForAll("damaged") String value) {
		onDeploymentStack(() -> checkAll(value));
	}

	@Property(seed = "23", tries = 500)
	void anyKeyIsReadOrRefused(@ForAll String id) {
		for (String prefix : new String[] { AnnouncementFormat.PREFIX, AnnouncementFormat.PREFIX + "guard/", "" }) {
			isRead(() -> AnnouncementFormat.readMember(new KvEntry(prefix + id, ANNOUNCEMENT.value(), 1)));
		}
	}

	@Example
	void refusesAnnouncementsThatNameNoUsableProcess() {
		String value = ANNOUNCEMENT.value();
		for (String odd : new String[] { value.replace("7720", "0"), value.replace("7720", "65536"),
				value.replace("7720", "-1"), value.replace("7720", "7720.0"), value.replace("7720", "\"7720\""),
				value.replace("10.1.0.14", "guard.invalid"), value.replace("10.1.0.14", ""),
				value.replace("10.1.0.14", "0.0.0.0"), value.replace("10.1.0.14", "1".repeat(100_000)),
				value.replace("\"incarnation\":7", "\"incarnation\":7.5"),
				value.replace("\"incarnation\":7", "\"incarnation\":9223372036854775807"),
				value.replace("\"incarnation\":7", "\"incarnation\":-7"),
				value.replace("\"protocol\":2", "\"protocol\":0"),
				value.replace("\"protocol\":2", "\"protocol\":4294967298"),
				value.replace("\"protocol\":2", "\"protocol\":\"2\""), value + "x", value + value,
				value.replace("{\"address\"", "{\"port\":1,\"address\"") }) {
			assertThatExceptionOfType(MalformedValueException.class)
				.isThrownBy(() -> AnnouncementFormat.readMember(new KvEntry(ANNOUNCEMENT.key(), odd, 1)))
				.withMessageMatching("(?s).{1,400}");
		}
		for (String key : new String[] { "", "x", AnnouncementFormat.PREFIX, AnnouncementFormat.PREFIX + "guard/",
				AnnouncementFormat.PREFIX + "guard/ ", AnnouncementFormat.PREFIX + "guard/a/b",
				AnnouncementFormat.PREFIX + "GUARD/guard-1", AnnouncementFormat.PREFIX + "observer/x",
				AnnouncementFormat.PREFIX + "guard/" + "x".repeat(200) }) {
			assertThatExceptionOfType(MalformedValueException.class)
				.isThrownBy(() -> AnnouncementFormat.readMember(new KvEntry(key, value, 1)));
		}
	}

	// Guards against a process that follows no change any more, because one value makes
	// the parser fail in a way that was not foreseen.
	@Example
	void skipsAValueThatMakesTheParserFailAndLogsItOnce() {
		StoreValueReader<String> reader = new StoreValueReader<>((entry) -> switch (entry.value()) {
			case "overflow" -> throw new StackOverflowError("error of this test");
			case "exception" -> throw new IllegalStateException("exception of this test");
			case "malformed" -> throw new MalformedValueException("malformed in this test");
			default -> entry.value();
		}, this.log, this.metrics);
		List<KvEntry> entries = List.of(new KvEntry("a", "overflow", 1), new KvEntry("b", "exception", 2),
				new KvEntry("c", "malformed", 3), new KvEntry("d", "valid", 4));
		assertThat(reader.read(new KvSnapshot(4, entries))).containsExactly("valid");
		assertThat(reader.read(new KvSnapshot(5, entries))).containsExactly("valid");
		assertThat(this.log.recentEvents()).extracting(RecentEvent::subject).containsExactly("a", "b", "c");
		assertThat(this.log.recentEvents()).extracting(RecentEvent::number)
			.containsOnly(LogEvent.VALUE_MALFORMED.number());
		assertThat(this.metrics.registry().counter(StoreValueReader.MALFORMED_COUNTER).getCount()).isEqualTo(3);
		assertThat(reader.read(new KvSnapshot(6, List.of(new KvEntry("a", "valid again", 6)))))
			.containsExactly("valid again");
	}

	// Guards against a report that stays in force, because no later one of the endpoint
	// is newer.
	@Example
	void refusesReportsOutOfRange() throws MalformedValueException {
		ReportLimits.check(REPORT, NOW);
		long latest = NOW + ReportLimits.MAX_CLOCK_DIFFERENCE_MILLIS;
		ReportLimits.check(report("i-1", latest, 4, "orders", Set.of()), NOW);
		for (EndpointReport odd : List.of(report("i-1", latest + 1, 4, "orders", Set.of()),
				report("i-1", -1, 4, "orders", Set.of()), report("", 17, 4, "orders", Set.of()),
				report("i\r\nx: y", 17, 4, "orders", Set.of()), report("i-\u00e9", 17, 4, "orders", Set.of()),
				report("x".repeat(129), 17, 4, "orders", Set.of()),
				report("i-1", 17, Long.MAX_VALUE, "orders", Set.of()), report("i-1", 17, -1, "orders", Set.of()),
				report("i-1", 17, 4, "x".repeat(129), Set.of()),
				report("i-1", 17, 4, "orders", Set.of("x".repeat(129))), report("i-1", 17, 4, "orders",
						Set.copyOf(IntStream.range(0, 65).mapToObj(String::valueOf).toList())))) {
			assertThatExceptionOfType(MalformedValueException.class).isThrownBy(() -> ReportLimits.check(odd, NOW))
				.withMessageMatching("(?s).{1,400}");
		}
	}

	private static EndpointReport report(String id, long born, long sequence, String pool, Set<String> labels) {
		return new EndpointReport(new EndpointIncarnation(id, born), sequence, new PoolName(pool), labels,
				REPORT.capacity(), false);
	}

	private static void checkAll(String value) {
		isRead(() -> {
			Member member = AnnouncementFormat.readMember(new KvEntry(ANNOUNCEMENT.key(), value, 1));
			assertThat(member.address().port()).isBetween(1, 65_535);
			assertThat(member.incarnation().value()).isNotNegative();
		});
		isRead(() -> {
			Optional<EndpointReport> report = AnnouncementFormat.readReport(value, NOW);
			if (report.isPresent()) {
				ReportLimits.check(report.get(), NOW);
			}
		});
		isRead(() -> StoreValues.decodeGuard(new KvEntry(PRODUCT_ANNOUNCEMENT.key(), value, 1)));
		isRead(() -> StoreValues.decodeEntry(new KvEntry(StoreValues.ENTRIES + "entry-1", value, 1)));
		isRead(() -> StoreValues.decodeHomes(new KvEntry(StoreValues.HOMES, value, 1)));
	}

	private static boolean isRead(Reading reading) {
		try {
			reading.run();
			return true;
		}
		catch (MalformedValueException ex) {
			assertThat(ex.getMessage()).hasSizeLessThan(1000);
			return false;
		}
	}

	private static void onDeploymentStack(Runnable work) {
		AtomicReference<Throwable> failure = new AtomicReference<>();
		Thread thread = new Thread(null, work, "deployment stack", STACK_BYTES);
		thread.setUncaughtExceptionHandler((failed, ex) -> failure.set(ex));
		thread.start();
		try {
			thread.join();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		assertThat(failure.get()).isNull();
	}

	@Provide
	Arbitrary<String> oddFields() {
		return Arbitraries.of(ANNOUNCEMENT.value(), PRODUCT_ANNOUNCEMENT.value())
			.flatMap((valid) -> Combinators
				.combine(Arbitraries.of(FIELDS.get(valid)), Arbitraries.of(ODD_VALUES),
						Arbitraries.of(FIELDS.get(valid)), Arbitraries.of(ODD_VALUES))
				.as((field, odd, other, otherOdd) -> replace(replace(valid, field, odd), other, otherOdd)));
	}

	private static String replace(String json, String field, String odd) {
		int start = json.indexOf("\"" + field + "\":");
		if (start < 0) {
			return json;
		}
		int from = start + field.length() + 3;
		int end = from;
		while (end < json.length() && json.charAt(end) != ',' && json.charAt(end) != '}') {
			end++;
		}
		return json.substring(0, from) + odd + json.substring(end);
	}

	@Provide
	Arbitrary<String> damaged() {
		List<String> valid = List.of(ANNOUNCEMENT.value(), PRODUCT_ANNOUNCEMENT.value(),
				StoreValues.encode(HomeTable.EMPTY));
		return Arbitraries.of(valid)
			.flatMap((value) -> Arbitraries.integers()
				.between(0, value.length() - 1)
				.flatMap((at) -> Arbitraries
					.of("", "\"", "{", "]", "0", "null", "-1", "1e999", "\\u0000", ",", "\uFFFD", "\0")
					.map((piece) -> value.substring(0, at) + piece + value.substring(at + 1))));
	}

	/**
	 * Reads a value.
	 */
	@FunctionalInterface
	private interface Reading {

		void run() throws MalformedValueException;

	}

}
