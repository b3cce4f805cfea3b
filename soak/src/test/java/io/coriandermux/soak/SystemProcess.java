package io.coriandermux.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An entry or a guard that runs as an operating system process with the command line of
 * the deployment.
 */
final class SystemProcess {

	private static final Path PLATFORM_TARGET = Path.of("../platform/target");

	private final String name;

	private final List<String> arguments;

	private final Path settings;

	private final Path log;

	private Process process;

	private boolean paused;

	SystemProcess(String name, List<String> arguments, Path settings, Path log) {
		this.name = name;
		this.arguments = arguments;
		this.settings = settings;
		this.log = log;
	}

	String name() {
		return this.name;
	}

	synchronized void start() throws IOException {
		if (isAlive()) {
			return;
		}
		List<String> command = new ArrayList<>(
				List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-Xmx64m", "-Xss256k",
						"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp",
						PLATFORM_TARGET.resolve("*") + ":" + PLATFORM_TARGET.resolve("lib/*"),
						"io.coriandermux.platform.PlatformDaemon"));
		command.addAll(this.arguments);
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("CORIANDERMUX_CONFIG", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		Files.createDirectories(this.log.getParent());
		this.process = builder.start();
		this.paused = false;
	}

	synchronized boolean isAlive() {
		return this.process != null && this.process.isAlive();
	}

	synchronized boolean isPaused() {
		return this.paused;
	}

	synchronized void kill() {
		if (isAlive()) {
			this.process.destroyForcibly();
		}
	}

	synchronized void terminate() {
		if (isAlive()) {
			this.process.destroy();
		}
	}

	// Waits without the lock, so that signals can be sent to the process meanwhile.
	boolean awaitEnd(long millis) throws InterruptedException {
		Process current;
		synchronized (this) {
			current = this.process;
		}
		return current == null || current.waitFor(millis, TimeUnit.MILLISECONDS);
	}

	synchronized int exitCode() {
		return this.process.exitValue();
	}

	synchronized void pause() throws IOException, InterruptedException {
		sendSignal("STOP");
		this.paused = true;
	}

	synchronized void resume() throws IOException, InterruptedException {
		sendSignal("CONT");
		this.paused = false;
	}

	synchronized void sendHangUp() throws IOException, InterruptedException {
		sendSignal("HUP");
	}

	private void sendSignal(String name) throws IOException, InterruptedException {
		if (isAlive()) {
			new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
		}
	}

}
