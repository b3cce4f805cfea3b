package io.coriandermux.cli;

import java.io.PrintWriter;
import java.io.Writer;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.coriandermux.version.ProgramVersion;
import net.jqwik.api.Example;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against commands and options without a description in the help, and against a
 * wrong version.
 */
class HelpTests {

	@Example
	void everyCommandAndOptionHasADescription() {
		List<CommandLine> commands = new ArrayList<>(List
			.of(CoriandermuxMain.commandLine(new CliContext(new PrintWriter(Writer.nullWriter()),
					new PrintWriter(Writer.nullWriter()), InstantSource.system(), () -> "id", Map.of(), (millis) -> {
					}))));
		for (int i = 0; i < commands.size(); i++) {
			CommandLine line = commands.get(i);
			commands.addAll(line.getSubcommands().values());
			assertThat(line.getCommandSpec().usageMessage().description()).as(line.getCommandName()).isNotEmpty();
			assertThat(line.getCommandSpec().findOption("--help")).as(line.getCommandName()).isNotNull();
			for (ArgSpec arg : line.getCommandSpec().args()) {
				assertThat(arg.description()).as(line.getCommandName() + " " + arg.paramLabel()).isNotEmpty();
			}
		}
		assertThat(commands).hasSizeGreaterThan(20);
	}

	@Example
	void theVersionIsThatOfTheProgram() {
		assertThat(CliRun.of("--version").out.strip()).isEqualTo("coriandermux " + ProgramVersion.current());
	}

	@Example
	void helpExitsWithOkAndInvalidCommandLinesWithUsage() {
		assertThat(CliRun.of("routes edit --help").code).isZero();
		assertThat(CliRun.of("routes edit --help").out).contains("--dry-run");
		assertThat(CliRun.of("routes edit --nonsense").code).isEqualTo(ExitCode.USAGE.number());
		assertThat(CliRun.of("routes get --owner guild").code).isEqualTo(ExitCode.USAGE.number());
	}

}
