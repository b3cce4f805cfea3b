package io.coriandermux.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Runs commands with a fixed clock, numbered ids and no delays between retries.
 */
final class CliRun {

	private static final AtomicInteger NEXT_ID = new AtomicInteger();

	final int code;

	final String out;

	final String err;

	private CliRun(int code, String out, String err) {
		this.code = code;
		this.out = out;
		this.err = err;
	}

	static CliRun run(Sleeper sleeper, String... args) {
		StringWriter out = new StringWriter();
		StringWriter err = new StringWriter();
		CliContext context = new CliContext(new PrintWriter(out), new PrintWriter(err),
				InstantSource.fixed(Instant.ofEpochSecond(1_796_360_000)),
				() -> "01890a5d-ac96-774b-bcce-%012x".formatted(NEXT_ID.incrementAndGet()),
				Map.of("CORIANDERMUX_KEY", "secret-key"), sleeper);
		int code = CoriandermuxMain.commandLine(context).execute(args);
		return new CliRun(code, out.toString(), err.toString());
	}

	/**
	 * Runs a command line that is split at spaces, followed by further arguments.
	 * @param line the command line
	 * @param furtherArgs further arguments
	 * @return the result
	 */
	static CliRun of(String line, Object... furtherArgs) {
		List<String> args = new ArrayList<>(List.of(line.split(" ")));
		for (Object arg : furtherArgs) {
			args.add(arg.toString());
		}
		return run((millis) -> {
		}, args.toArray(String[]::new));
	}

	static Path tempFile(String content) {
		try {
			Path file = Files.createTempFile("cli", ".json");
			file.toFile().deleteOnExit();
			return Files.writeString(file, content);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	JsonNode json() {
		try {
			return new ObjectMapper().readTree(this.out);
		}
		catch (JsonProcessingException ex) {
			throw new AssertionError(this.out + this.err, ex);
		}
	}

}
