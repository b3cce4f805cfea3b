package io.coriandermux.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against an exit code that docs/operators.md does not explain.
 */
class ExitCodeTests {

	@Example
	void everyExitCodeIsListedInTheOperatorsPage() throws IOException {
		String page = Files.readString(Path.of("..", "docs", "operators.md"));
		for (ExitCode code : ExitCode.values()) {
			assertThat(page).contains("| " + code.number() + " | `" + code.text() + "` |");
		}
	}

}
