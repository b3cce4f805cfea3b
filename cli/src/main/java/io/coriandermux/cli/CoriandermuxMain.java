package io.coriandermux.cli;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;

import com.github.f4b6a3.uuid.UuidCreator;
import picocli.CommandLine;

/**
 * Entry point of {@code bin/coriandermux}.
 */
public final class CoriandermuxMain {

	private CoriandermuxMain() {
	}

	/**
	 * Executes a command and exits with its exit code.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		// The HTTP client logs its versions at start, which would mix with the command's
		// output.
		Logger xnioLogger = Logger.getLogger("org.xnio");
		xnioLogger.setLevel(Level.WARNING);
		CliContext context = new CliContext(new PrintWriter(System.out, true, StandardCharsets.UTF_8),
				new PrintWriter(System.err, true, StandardCharsets.UTF_8), Clock.systemUTC(),
				() -> UuidCreator.getTimeOrderedEpoch().toString(), System.getenv(), CoriandermuxMain::sleep);
		System.exit(commandLine(context).execute(args));
	}

	/**
	 * Builds the command line with all commands.
	 * @param context the context of the commands
	 * @return the command line
	 */
	public static CommandLine commandLine(CliContext context) {
		CommandLine line = new CommandLine(new CoriandermuxCommand(context));
		line.setOut(context.out());
		line.setErr(context.err());
		line.setCaseInsensitiveEnumValuesAllowed(true);
		line.setExecutionExceptionHandler(new CommandFailureHandler());
		return line;
	}

	private static void sleep(long millis) throws InterruptedException {
		new CountDownLatch(1).await(millis, TimeUnit.MILLISECONDS);
	}

}
