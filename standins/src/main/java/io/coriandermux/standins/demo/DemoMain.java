package io.coriandermux.standins.demo;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Clock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line of the demo driver. The script {@code bin/demo} starts the processes and
 * this driver.
 */
@Command(name = "demo", mixinStandardHelpOptions = true, description = "Runs the demo against running processes.")
public final class DemoMain implements Callable<Integer> {

	@Option(names = "--process", paramLabel = "NAME=URL", required = true,
			description = "Address of a process: entry-N, entry-N-ops, guard-N-ops or runner-N.")
	private Map<String, URI> processes = new LinkedHashMap<>();

	@Option(names = "--key-file", paramLabel = "OWNER=FILE", required = true,
			description = "File with the key of an owner.")
	private Map<String, Path> keyFiles = new LinkedHashMap<>();

	@Option(names = "--jobs", required = true, description = "JSON file with the jobs.")
	private Path jobs;

	private DemoMain() {
	}

	/**
	 * Runs the command line.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(new DemoMain()).execute(args));
	}

	@Override
	public Integer call() throws IOException, InterruptedException {
		Map<String, String> keys = new LinkedHashMap<>();
		for (Map.Entry<String, Path> entry : this.keyFiles.entrySet()) {
			keys.put(entry.getKey(), Files.readString(entry.getValue()).strip());
		}
		BufferedReader in = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
		try (ProcessClient client = new ProcessClient(this.processes)) {
			DemoCaller caller = new DemoCaller(client, keys, Clock.systemUTC(), List.of("entry-1", "entry-2"));
			try (DemoScenario scenario = new DemoScenario(client, caller, new DemoActions(in, System.out),
					System.out)) {
				DemoReport report = scenario.run(readJobs());
				report.print(System.out);
				new DemoDiagnostics(client, System.out).print(report.results());
				System.out.println(report.summary());
				return report.hasPassed() ? 0 : 1;
			}
		}
	}

	private List<DemoJob> readJobs() throws IOException {
		List<DemoJob> demoJobs = new ArrayList<>();
		for (JsonNode node : new ObjectMapper().readTree(Files.readString(this.jobs))) {
			demoJobs.add(DemoJob.of(node));
		}
		return demoJobs;
	}

}
