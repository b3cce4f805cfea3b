package io.coriandermux.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Command line of the soak: {@code Soak SEED COUNT SECONDS ENTRIES GUARDS
 * RANGE RATE WAIT LOAD PLAN QUOTA}, or {@code Soak regression} for the seeds that once
 * violated a guarantee. It prints a verdict for each seed and keeps the logs of runs with
 * violations.
 */
public final class Soak {

	private static final Path REGRESSION_SEEDS = Path.of("regression-seeds.txt");

	private static final String WARM = "warm";

	private Soak() {
	}

	/**
	 * Runs consecutive seeds and exits with 1 if a run violates a guarantee.
	 * @param arguments the first seed, the number of seeds, seconds of faults, entries
	 * and guards, the range of the faults, jobs a second (0 for a closed loop), the
	 * milliseconds that a caller waits, the load of the endpoints in percent, the plan of
	 * a cold run or warm, and the percentage of the processor quotas (0 for none), or the
	 * word regression
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		if (arguments.length == 1 && arguments[0].equals("regression")) {
			System.exit(runRegressionSeeds() ? 0 : 1);
		}
		long first = Long.parseLong(arguments[0]);
		long count = Long.parseLong(arguments[1]);
		long faultMillis = Long.parseLong(arguments[2]) * 1000;
		Optional<ColdPlan> coldPlan = arguments[9].equals(WARM) ? Optional.empty()
				: Optional.of(ColdPlan.valueOf(arguments[9].toUpperCase(Locale.ROOT)));
		SiteCallers.Load load = new SiteCallers.Load(Integer.parseInt(arguments[6]), Integer.parseInt(arguments[7]),
				Integer.parseInt(arguments[8]), coldPlan.isPresent());
		FaultRange range = new FaultRange(arguments[5]);
		if ((range.needsBalancer() || coldPlan.isPresent()) && load.isClosed()) {
			throw new IllegalArgumentException("cold runs and these faults need callers at a rate: " + range.name());
		}
		SoakOptions options = new SoakOptions(Integer.parseInt(arguments[3]), Integer.parseInt(arguments[4]), range,
				load, coldPlan, Integer.parseInt(arguments[10]));
		boolean passed = true;
		for (long seed = first; seed < first + count; seed++) {
			passed &= runSeed(seed, faultMillis, options).isEmpty();
		}
		System.exit(passed ? 0 : 1);
	}

	private static boolean runRegressionSeeds() throws IOException, InterruptedException {
		boolean passed = true;
		for (String line : Files.readAllLines(REGRESSION_SEEDS)) {
			if (!line.startsWith("#")) {
				String[] fields = line.split(" ");
				SiteCallers.Load load = new SiteCallers.Load(Integer.parseInt(fields[5]), Integer.parseInt(fields[6]),
						SiteCallers.DEFAULT_LOAD_PERCENT);
				passed &= runSeed(Long.parseLong(fields[0]), Long.parseLong(fields[1]) * 1000, new SoakOptions(
						Integer.parseInt(fields[2]), Integer.parseInt(fields[3]), new FaultRange(fields[4]), load))
					.isEmpty();
			}
		}
		return passed;
	}

	static List<String> runSeed(long seed, long faultMillis, SoakOptions options)
			throws IOException, InterruptedException {
		Path folder = Path.of("target/soak/" + seed).toAbsolutePath();
		deleteRecursively(folder);
		try (SoakRun run = new SoakRun(seed, options, folder)) {
			// Ends the processes when this program is interrupted.
			Thread killer = new Thread(run::killProcesses);
			Runtime.getRuntime().addShutdownHook(killer);
			List<String> violations = run.execute(faultMillis);
			Runtime.getRuntime().removeShutdownHook(killer);
			System.out.println(run.summary());
			List<String> lines = new ArrayList<>(violations);
			lines.addAll(run.overlaps());
			lines.forEach((line) -> System.out.println("  " + line));
			if (!violations.isEmpty()) {
				Files.write(folder.resolve("broken.txt"), lines);
				System.out.println("  logs are in " + folder);
			}
			return violations;
		}
	}

	private static void deleteRecursively(Path folder) throws IOException {
		if (!Files.exists(folder)) {
			return;
		}
		try (Stream<Path> files = Files.walk(folder)) {
			for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
				Files.delete(file);
			}
		}
	}

}
