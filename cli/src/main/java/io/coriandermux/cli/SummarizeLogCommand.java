package io.coriandermux.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Summarizes the events of batches in logs.
 */
@Command(name = "summarize-log", mixinStandardHelpOptions = true,
		description = "Summarizes the outcomes of batches in logs of entries and guards.")
final class SummarizeLogCommand implements Callable<Integer> {

	@Mixin
	private OutputOptions output;

	@Option(names = "--task", paramLabel = "ID",
			description = "Print the records of one task, BATCH.PHASE.INDEX, or of a batch, in the order of time. "
					+ "FILE may also hold the output of events --json; its name is that of the process.")
	private String task;

	@Parameters(arity = "1..*", paramLabel = "FILE",
			description = "Logs in the order of time, or - for standard input.")
	private List<Path> files;

	@Override
	public Integer call() throws Exception {
		if (this.task != null) {
			return printHistory();
		}
		BatchLogSummary summary = new BatchLogSummary();
		for (Path file : this.files) {
			InputFiles.read(file).lines().forEach(summary::add);
		}
		this.output.print(summary.toJson());
		return ExitCode.OK.number();
	}

	private int printHistory() throws IOException {
		TaskHistory history = new TaskHistory(this.task);
		for (Path file : this.files) {
			history.add(file.getFileName().toString().replace(".json", ""), InputFiles.read(file));
		}
		this.output.print(history.toJson());
		return ExitCode.OK.number();
	}

}
