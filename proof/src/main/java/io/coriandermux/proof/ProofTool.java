package io.coriandermux.proof;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.Map;

import io.coriandermux.proof.fault.ExpectedOutcomes;
import io.coriandermux.proof.fault.MatrixCell;
import io.coriandermux.proof.fault.MatrixPage;
import io.coriandermux.proof.fault.RandomFaultPair;
import io.coriandermux.proof.mutation.MutantLogicFactory;
import io.coriandermux.proof.mutation.Mutation;
import io.coriandermux.proof.simulation.CoreLogicFactory;
import io.coriandermux.proof.trace.Trace;
import io.coriandermux.proof.trace.TraceFormatException;
import io.coriandermux.proof.trace.TraceRun;

/**
 * Generates the committed files of the proof module and replays traces:
 * {@code record-matrix FILE} runs each cell of the fault matrix and writes the outcomes;
 * {@code page FILE} writes the page docs/fault-matrix.md; {@code record FILE} runs a
 * trace and writes it with its outcomes; {@code draw SEED FILE} writes the trace of the
 * random pair of faults for a seed; {@code replay FILE} runs a trace and prints its
 * outcomes and violations.
 */
public final class ProofTool {

	private ProofTool() {
	}

	/**
	 * Runs a command.
	 * @param arguments the command and its arguments
	 * @throws IOException if a file cannot be read or written
	 * @throws TraceFormatException if a trace cannot be read
	 */
	public static void main(String[] arguments) throws IOException, TraceFormatException {
		switch (arguments[0]) {
			case "record-matrix" -> recordMatrix(Path.of(arguments[1]));
			case "page" -> Files.writeString(Path.of(arguments[1]), buildPage());
			case "record" -> record(Path.of(arguments[1]));
			case "draw" -> Files.writeString(Path.of(arguments[2]),
					RandomFaultPair.of(Long.parseLong(arguments[1])).trace().format());
			case "replay" -> replay(Path.of(arguments[1]));
			default -> System.err.println("no such command: " + arguments[0]);
		}
	}

	/**
	 * Builds the page docs/fault-matrix.md.
	 * @return the page as Markdown
	 * @throws IOException if the expected outcomes cannot be read
	 * @throws TraceFormatException if the expected outcomes are malformed
	 */
	public static String buildPage() throws IOException, TraceFormatException {
		Map<Mutation, Boolean> detected = new EnumMap<>(Mutation.class);
		for (Mutation mutation : Mutation.values()) {
			detected.put(mutation, isDetected(mutation));
		}
		return MatrixPage.render(ExpectedOutcomes.load(), detected);
	}

	/**
	 * Returns whether the check of a mutation reports a violation with the mutation and
	 * none in the same run without it.
	 * @param mutation the mutation
	 * @return whether the check detects the mutation
	 * @throws TraceFormatException if the event of the mutation cannot be read
	 */
	public static boolean isDetected(Mutation mutation) throws TraceFormatException {
		Trace trace = mutation.trace();
		TraceRun unchanged = TraceRun.execute(trace, new CoreLogicFactory());
		TraceRun mutated = TraceRun.execute(trace, new MutantLogicFactory(new CoreLogicFactory(), mutation));
		return mutation.check().violations(unchanged.journal()).isEmpty()
				&& !mutation.check().violations(mutated.journal()).isEmpty();
	}

	private static void recordMatrix(Path file) throws IOException {
		StringBuilder text = new StringBuilder("# <fault> <step> <job or edit>=<outcome> ...\n");
		for (MatrixCell cell : MatrixCell.all()) {
			TraceRun run = TraceRun.execute(cell.trace(), new CoreLogicFactory());
			text.append(ExpectedOutcomes.format(cell, ExpectedOutcomes.withoutBursts(run.outcomes()))).append('\n');
			run.violations().forEach((violation) -> System.out.println(cell.label() + ": " + violation));
		}
		Files.writeString(file, text.toString());
	}

	// Replaces the outcome lines of the file and keeps all other lines.
	private static void record(Path file) throws IOException, TraceFormatException {
		String text = Files.readString(file);
		TraceRun run = TraceRun.execute(Trace.parse(text), new CoreLogicFactory());
		run.violations().forEach(System.out::println);
		StringBuilder next = new StringBuilder();
		text.lines().filter((line) -> !line.startsWith("outcome ")).forEach((line) -> next.append(line).append('\n'));
		run.outcomes()
			.forEach((name, outcome) -> next.append("outcome ").append(name).append(' ').append(outcome).append('\n'));
		Files.writeString(file, next.toString());
	}

	private static void replay(Path file) throws IOException, TraceFormatException {
		TraceRun run = TraceRun.execute(Trace.parse(Files.readString(file)), new CoreLogicFactory());
		run.outcomes().forEach((name, outcome) -> System.out.println(name + " " + outcome));
		run.violations().forEach(System.out::println);
	}

}
