package io.coriandermux.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Summarizes the events of batches in logs.
 */
@Command(name = "summarize-log", mixinStandardHelpOptions = true,
		description = "Summarizes the outcomes of batches in logs of entries and guards.")
final class SummarizeLogCommand implements Callable<Integer> {

	@Mixin
	private OutputOptions output;

	@Parameters(arity = "1..*", paramLabel = "FILE",
			description = "Logs in the order of time, or - for standard input.")
	private List<Path> files;

	@Override
	public Integer call() throws Exception {
		BatchLogSummary summary = new BatchLogSummary();
		for (Path file : this.files) {
			InputFiles.read(file).lines().forEach(summary::add);
		}
		this.output.print(summary.toJson());
		return ExitCode.OK.number();
	}

}
