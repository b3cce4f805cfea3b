package io.coriandermux.standins.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;

/**
 * Requests actions on processes from the script that started them: the driver prints a
 * line and waits for the answer of the script.
 */
final class DemoActions {

	private final BufferedReader in;

	private final PrintStream out;

	DemoActions(BufferedReader in, PrintStream out) {
		this.in = in;
		this.out = out;
	}

	/**
	 * Requests an action and waits until the script reports that it is done.
	 * @param action the action as the script expects it, such as {@code kill entry-2}
	 * @throws IOException if the script has ended or sends an unexpected answer
	 */
	void perform(String action) throws IOException {
		this.out.println("action " + action);
		this.out.flush();
		String answer = this.in.readLine();
		if (!("done " + action).equals(answer)) {
			throw new IOException("unexpected answer \"" + answer + "\" of the script to action \"" + action + "\"");
		}
	}

}
