package io.coriandermux.daemon.run;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.coriandermux.daemon.log.LogConfigurator;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.daemon.settings.SettingsException;
import io.coriandermux.store.StoreException;

/**
 * Runs a process from its start to its graceful shutdown.
 */
public final class ProcessRunner {

	private static final long CLOSE_TIMEOUT_MILLIS = 10_000;

	private ProcessRunner() {
	}

	/**
	 * Runs a process until it is shut down.
	 * @param starter reads the settings and starts the process
	 * @return the exit code
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static int run(Starter starter) throws InterruptedException {
		try {
			return serve(starter.start()).number();
		}
		catch (SettingsException ex) {
			ex.errors().forEach((error) -> System.err.println("settings: " + error));
			return ExitCode.SETTINGS.number();
		}
		catch (IOException | StoreException ex) {
			System.err.println("the process cannot start: " + ex.getMessage());
			return ExitCode.START.number();
		}
	}

	private static ExitCode serve(ProcessRunner.StartedProcess process) throws InterruptedException, IOException {
		Shell shell = process.shell();
		CountDownLatch closed = new CountDownLatch(1);
		Thread shutdownHook = new Thread(() -> {
			shell.requestDrain();
			await(closed, process.settings().drainMillis() + CLOSE_TIMEOUT_MILLIS);
			LogConfigurator.close();
		}, "terminated");
		Runtime.getRuntime().addShutdownHook(shutdownHook);
		HangUpSignal.install(shell::reload);
		try {
			shell.awaitDrainRequestOrFailure();
			if (shell.hasFailed()) {
				return ExitCode.FAILED;
			}
			return shell.drain() ? ExitCode.OK : ExitCode.OVERDUE;
		}
		finally {
			shell.close();
			closed.countDown();
		}
	}

	private static void await(CountDownLatch latch, long millis) {
		try {
			latch.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Reads the settings and starts a process.
	 */
	@FunctionalInterface
	public interface Starter {

		/**
		 * Starts the process.
		 * @return the started process
		 * @throws SettingsException if the settings are invalid
		 * @throws IOException if a port cannot be bound
		 * @throws StoreException if the client of the store cannot start
		 */
		ProcessRunner.StartedProcess start() throws SettingsException, IOException, StoreException;

	}

	/**
	 * A started process.
	 *
	 * @param shell the shell of the process
	 * @param settings its settings
	 */
	public record StartedProcess(Shell shell, ProcessSettings settings) {

	}

}
