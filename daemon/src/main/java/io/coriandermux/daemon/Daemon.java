package io.coriandermux.daemon;

import java.nio.file.Path;
import java.time.Clock;

import io.coriandermux.daemon.entry.EntryShell;
import io.coriandermux.daemon.guard.GuardShell;
import io.coriandermux.daemon.run.ProcessRunner;
import io.coriandermux.daemon.settings.EntryProcessSettings;
import io.coriandermux.daemon.settings.GuardProcessSettings;
import io.coriandermux.daemon.settings.SettingsReader;
import io.coriandermux.version.VersionProvider;
import io.coriandermux.wire.SystemTime;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line that starts an entry or a guard.
 */
@Command(name = "coriandermuxd", mixinStandardHelpOptions = true, versionProvider = VersionProvider.class,
		description = "Starts an entry or a guard.")
public final class Daemon {

	private Daemon() {
	}

	/**
	 * Runs the command and exits with its exit code.
	 * @param args the command line arguments
	 */
	public static void main(String[] args) {
		System.setProperty("org.jboss.logging.provider", "slf4j");
		System.exit(new CommandLine(new Daemon()).execute(args));
	}

	/**
	 * Runs an entry until it is shut down.
	 * @param file the settings file
	 * @return the exit code
	 * @throws InterruptedException if the main thread is interrupted
	 */
	@Command(name = "entry", mixinStandardHelpOptions = true, description = "Starts an entry.")
	int entry(@Option(names = "--settings", required = true, description = "The settings file.") Path file)
			throws InterruptedException {
		return ProcessRunner.run(() -> {
			EntryProcessSettings settings = new SettingsReader().readEntry(file);
			return new io.coriandermux.daemon.run.ProcessRunner.StartedProcess(
					new EntryShell(settings, new SystemTime(Clock.systemUTC())), settings.process());
		});
	}

	/**
	 * Runs a guard until it is shut down.
	 * @param file the settings file
	 * @return the exit code
	 * @throws InterruptedException if the main thread is interrupted
	 */
	@Command(name = "guard", mixinStandardHelpOptions = true, description = "Starts a guard.")
	int guard(@Option(names = "--settings", required = true, description = "The settings file.") Path file)
			throws InterruptedException {
		return ProcessRunner.run(() -> {
			GuardProcessSettings settings = new SettingsReader().readGuard(file);
			return new io.coriandermux.daemon.run.ProcessRunner.StartedProcess(
					new GuardShell(settings, new SystemTime(Clock.systemUTC())), settings.process());
		});
	}

}
