package io.coriandermux.cli;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import picocli.CommandLine.Option;

/**
 * Options with the addresses of the entries and the owner's key.
 */
final class EntryOptions {

	private static final String KEY_VARIABLE = "CORIANDERMUX_KEY";

	@Option(names = "--entry", paramLabel = "URL", split = ",", required = true,
			description = "Addresses of the entries' ports for callers, separated by commas.")
	private List<URI> urls = new ArrayList<>();

	@Option(names = "--key-file", paramLabel = "FILE",
			description = "File with the owner's key (default: environment variable " + KEY_VARIABLE + ").")
	private Path keyFile;

	@Option(names = "--timeout-ms", paramLabel = "MS", defaultValue = "5000",
			description = "Time limit of a call in milliseconds, on top of the wait (default: ${DEFAULT-VALUE}).")
	private long timeoutMillis;

	@Option(names = "--wait-ms", paramLabel = "MS", defaultValue = "30000",
			description = "Time to wait for the outcome in milliseconds (default: ${DEFAULT-VALUE}).")
	private long waitMillis;

	List<URI> urls() {
		return this.urls;
	}

	long waitMillis() {
		return this.waitMillis;
	}

	Duration callTimeout() {
		return Duration.ofMillis(this.timeoutMillis + this.waitMillis);
	}

	/**
	 * Reads the owner's key. It is not an option of the command line, because other users
	 * of the machine can see the arguments of a process.
	 * @param context the context of the command
	 * @return the key
	 * @throws CliException if no key is given
	 * @throws IOException if the file cannot be read
	 */
	String key(CliContext context) throws CliException, IOException {
		if (this.keyFile != null) {
			return Files.readString(this.keyFile).strip();
		}
		String key = context.environment().get(KEY_VARIABLE);
		if (key == null) {
			throw new CliException(ExitCode.USAGE, "give the owner's key with --key-file or " + KEY_VARIABLE);
		}
		return key;
	}

}
