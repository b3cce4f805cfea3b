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

	/** The checkout whose build runs; another one than that of the soak on request. */
	private static final Path REPOSITORY = Path.of(System.getProperty("soak.system", "..")).toAbsolutePath();

	/** Length of a clock tick in the files of {@code /proc}. */
	private static final long TICK_MILLIS = 10;

	/** Position of the user time behind the name of the command in {@code stat}. */
	private static final int USER_TIME_FIELD = 11;

	private static final String COMMAND_PREFIX = "run = \"";

	private final String name;

	private final List<String> command;

	private final int operatorsPort;

	private final Path settings;

	private final Path log;

	private final SignalSender signals;

	private Process process;

	private boolean paused;

	private boolean throttled;

	/**
	 * Creates a process that is not started yet.
	 * @param name its name
	 * @param role its role in the deployment
	 * @param heartbeatAddress address to which the endpoint of a guard sends heartbeats
	 * @param operatorsPort its port for operators
	 * @param settings its settings file
	 * @param log the file for its output
	 * @param signals sends signals to it
	 * @throws IOException if the deployment cannot be read
	 */
	SystemProcess(String name, String role, String heartbeatAddress, int operatorsPort, Path settings, Path log,
			SignalSender signals) throws IOException {
		this.name = name;
		this.command = readCommand(role, heartbeatAddress);
		this.operatorsPort = operatorsPort;
		this.settings = settings;
		this.log = log;
		this.signals = signals;
	}

	// The command line of the deployment, with its memory limits and class archive. Its
	// paths are relative to the repository.
	private static List<String> readCommand(String role, String heartbeatAddress) throws IOException {
		List<String> lines = Files.readAllLines(REPOSITORY.resolve("deploy/system.toml"));
		String line = lines.stream()
			.skip(lines.indexOf("[roles." + role + "]") + 1L)
			.filter((candidate) -> candidate.startsWith(COMMAND_PREFIX))
			.findFirst()
			.orElseThrow(() -> new IOException("deploy/system.toml has no command for the role " + role));
		List<String> words = new ArrayList<>(
				List.of(line.substring(COMMAND_PREFIX.length(), line.lastIndexOf('"')).split(" ")));
		words.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
		words.replaceAll((word) -> word.equals("{{listenAddrs.controlPlane}}") ? heartbeatAddress : word);
		return List.copyOf(words);
	}

	String name() {
		return this.name;
	}

	int operatorsPort() {
		return this.operatorsPort;
	}

	synchronized void start() throws IOException {
		if (isAlive()) {
			return;
		}
		ProcessBuilder builder = new ProcessBuilder(this.command);
		builder.directory(REPOSITORY.toFile());
		builder.environment().put("CORIANDERMUX_CONFIG", this.settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
		Files.createDirectories(this.log.getParent());
		this.process = builder.start();
		this.paused = false;
		this.throttled = false;
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

	synchronized long pid() {
		return this.process.pid();
	}

	synchronized int exitCode() {
		return this.process.exitValue();
	}

	synchronized void pause() throws IOException {
		this.paused = true;
		if (!this.throttled) {
			sendSignal("STOP");
		}
	}

	synchronized void resume() throws IOException {
		this.paused = false;
		if (!this.throttled) {
			sendSignal("CONT");
		}
	}

	/**
	 * Lets the process stand still or go on because of its processor quota. It stands
	 * still while it is throttled, paused, or both.
	 * @param next whether it is throttled from now on
	 * @throws IOException if the signal cannot be sent
	 */
	synchronized void setThrottled(boolean next) throws IOException {
		if (next == this.throttled) {
			return;
		}
		this.throttled = next;
		if (!this.paused) {
			sendSignal(next ? "STOP" : "CONT");
		}
	}

	/**
	 * Returns the CPU time that the process has used since its start. After a restart it
	 * is less than before.
	 * @return the CPU time in milliseconds, 0 if the process does not run
	 */
	synchronized long cpuMillis() {
		if (!isAlive()) {
			return 0;
		}
		try {
			String stat = Files.readString(Path.of("/proc/" + this.process.pid() + "/stat"));
			String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
			return (Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]))
					* TICK_MILLIS;
		}
		catch (IOException ex) {
			// The process has just ended.
			return 0;
		}
	}

	synchronized void sendHangUp() throws IOException {
		sendSignal("HUP");
	}

	private void sendSignal(String name) throws IOException {
		if (isAlive()) {
			this.signals.send(name, this.process.pid());
		}
	}

}
