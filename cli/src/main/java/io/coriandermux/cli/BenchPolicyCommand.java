package io.coriandermux.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.bench.policy.PolicyBench;
import io.coriandermux.bench.policy.PolicyBenchOptions;
import io.coriandermux.bench.policy.PolicyBenchReport;
import io.coriandermux.bench.policy.PolicyBenchResult;
import io.coriandermux.bench.report.PolicyHtmlReport;
import io.coriandermux.config.JsonDocuments;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Runs the policy benchmark in virtual time.
 */
@Command(name = "policy", mixinStandardHelpOptions = true,
		description = "Runs the scheduling policy and the baselines on the same arrivals in virtual time.")
final class BenchPolicyCommand implements Callable<Integer> {

	/** A shorter run has no arrivals of some kinds before or after the peak. */
	private static final int MIN_SECONDS = 20;

	@Mixin
	private OutputOptions output;

	@Option(names = "--seed", description = "Seed of the first run (default: that of the benchmark).")
	private Long seed;

	@Option(names = "--runs", description = "Number of runs with consecutive seeds (default: that of the benchmark).")
	private Integer runs;

	@Option(names = "--seconds", description = "Length of a run in virtual seconds (default: that of the benchmark).")
	private Integer seconds;

	@Option(names = "--quick", description = "Omit the rows for more runners and for wrong declared sizes.")
	private boolean quick;

	@Option(names = "--report", paramLabel = "FILE",
			description = "Also write a self-contained HTML page with plots to this file.")
	private Path report;

	@Override
	public Integer call() throws Exception {
		PolicyBenchOptions defaults = PolicyBenchOptions.defaults();
		PolicyBenchOptions options = new PolicyBenchOptions((this.seed != null) ? this.seed : defaults.seed(),
				(this.runs != null) ? this.runs : defaults.runs(),
				(this.seconds != null) ? this.seconds : defaults.seconds(), defaults.load(), !this.quick);
		if (options.seconds() < MIN_SECONDS || options.runs() < 1) {
			throw new CliException(ExitCode.USAGE, "at least one run of " + MIN_SECONDS + " s is required");
		}
		PolicyBenchResult result = PolicyBench.run(options);
		ByteArrayOutputStream table = new ByteArrayOutputStream();
		new PolicyBenchReport(new PrintStream(table, true, StandardCharsets.UTF_8)).printTable(result);
		ByteArrayOutputStream json = new ByteArrayOutputStream();
		new PolicyBenchReport(new PrintStream(json, true, StandardCharsets.UTF_8)).printJson(result);
		String text = table.toString(StandardCharsets.UTF_8);
		JsonNode node = JsonDocuments.parse("bench", json.toString(StandardCharsets.UTF_8));
		if (this.report != null) {
			Files.writeString(this.report, new PolicyHtmlReport().page(result));
		}
		this.output.context().out().println(text.stripTrailing());
		if (this.output.isJson()) {
			this.output.context().out().println(node);
		}
		return ExitCode.OK.number();
	}

}
