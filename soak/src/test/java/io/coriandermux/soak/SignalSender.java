package io.coriandermux.soak;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to processes through one shell. With a process for each signal, the
 * signals of the processor quotas would take more CPU time than the rest of the soak.
 */
final class SignalSender implements AutoCloseable {

	private final Process shell;

	private final Writer commands;

	private final BufferedReader results;

	/**
	 * Starts the shell.
	 * @throws IOException if it cannot be started
	 */
	SignalSender() throws IOException {
		this.shell = new ProcessBuilder("sh").redirectError(ProcessBuilder.Redirect.DISCARD).start();
		this.commands = this.shell.outputWriter(StandardCharsets.US_ASCII);
		this.results = new BufferedReader(
				new InputStreamReader(this.shell.getInputStream(), StandardCharsets.US_ASCII));
	}

	/**
	 * Sends a signal and returns when it has been sent. A process that has ended receives
	 * nothing.
	 * @param signal name of the signal, without SIG
	 * @param pid id of the process
	 * @throws IOException if the shell has ended
	 */
	synchronized void send(String signal, long pid) throws IOException {
		this.commands.write("kill -" + signal + " " + pid + "; echo $?\n");
		this.commands.flush();
		if (this.results.readLine() == null) {
			throw new IOException("the shell that sends signals has ended");
		}
	}

	@Override
	public synchronized void close() throws IOException {
		this.commands.close();
		this.shell.destroy();
	}

}
