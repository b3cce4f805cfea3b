package io.coriandermux.cli;

import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a policy benchmark whose results differ between runs with the same seed.
 */
class BenchPolicyCommandTests {

	@Example
	void sameSeedGivesTheSameResults() throws Exception {
		Path report = CliRun.tempFile("");
		CliRun first = CliRun.of("bench policy --json --quick --runs 1 --seconds 20 --seed 7 --report", report);
		CliRun second = CliRun.of("bench policy --json --quick --runs 1 --seconds 20 --seed 7");
		assertThat(first.code).isZero();
		String[] lines = first.out.strip().split("\n");
		JsonNode last = new ObjectMapper().readTree(lines[lines.length - 1]);
		assertThat(last.path("workloads").size()).isPositive();
		assertThat(second.out).isEqualTo(first.out);
		assertThat(Files.readString(report)).contains("Seed 7", "Workload guild", "<svg");
	}

}
