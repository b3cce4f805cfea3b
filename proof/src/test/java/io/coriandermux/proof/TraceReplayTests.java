package io.coriandermux.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.coriandermux.proof.simulation.CoreLogicFactory;
import io.coriandermux.proof.trace.Trace;
import io.coriandermux.proof.trace.TraceFormatException;
import io.coriandermux.proof.trace.TraceRun;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against changes that alter the outcome of a recorded trace or break a guarantee
 * in it.
 */
class TraceReplayTests {

	private static final Path TRACES = Path.of("src/test/resources/traces");

	@Example
	void eachRecordedTraceHasItsStatedOutcomesAndBreaksNoGuarantee() throws IOException, TraceFormatException {
		for (Path file : traces()) {
			Trace trace = Trace.parse(Files.readString(file));
			TraceRun run = TraceRun.execute(trace, new CoreLogicFactory());
			assertThat(run.violations()).as(file.toString()).isEmpty();
			assertThat(new TreeMap<>(run.outcomes())).as(file.toString()).isEqualTo(new TreeMap<>(trace.outcomes()));
		}
		assertThat(traces()).hasSizeGreaterThanOrEqualTo(10);
	}

	@Example
	void aFormattedTraceParsesToTheSameTrace() throws IOException, TraceFormatException {
		for (Path file : traces()) {
			Trace trace = Trace.parse(Files.readString(file));
			assertThat(Trace.parse(trace.format())).isEqualTo(trace);
		}
	}

	@Example
	void aLineThatIsNotAnEventIsRejected() {
		assertThatExceptionOfType(TraceFormatException.class).isThrownBy(() -> Trace.parse("at noon submit"))
			.withMessageContaining("at noon submit");
	}

	private static List<Path> traces() throws IOException {
		try (Stream<Path> files = Files.list(TRACES)) {
			return files.sorted().toList();
		}
	}

}
