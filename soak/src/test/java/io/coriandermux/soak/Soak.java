package io.coriandermux.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The soak by hand: {@code Soak SEED COUNT SECONDS ENTRIES GUARDS}, or
 * {@code Soak regression} for the seeds that broke a promise once. It prints a verdict
 * for each seed and keeps the logs of those that broke a promise.
 */
public final class Soak {

	private static final int CLIENTS = 12;

	private static final Path REGRESSION_SEEDS = Path.of("regression-seeds.txt");

	private Soak() {
	}

	/**
	 * Plays runs of consecutive seeds; exits with 1 if one broke a promise.
	 * @param arguments first seed, number of seeds, seconds of faults, entries, guards,
	 * or the word regression
	 * @throws IOException if a process cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		if (arguments.length == 1 && arguments[0].equals("regression")) {
			System.exit(playRegression() ? 0 : 1);
		}
		long first = Long.parseLong(arguments[0]);
		long count = Long.parseLong(arguments[1]);
		long faultMillis = Long.parseLong(arguments[2]) * 1000;
		boolean clean = true;
		for (long seed = first; seed < first + count; seed++) {
			clean &= play(seed, faultMillis, Integer.parseInt(arguments[3]), Integer.parseInt(arguments[4])).isEmpty();
		}
		System.exit(clean ? 0 : 1);
	}

	private static boolean playRegression() throws IOException, InterruptedException {
		boolean clean = true;
		for (String line : Files.readAllLines(REGRESSION_SEEDS)) {
			if (!line.startsWith("#")) {
				String[] words = line.split(" ");
				clean &= play(Long.parseLong(words[0]), Long.parseLong(words[1]) * 1000, Integer.parseInt(words[2]),
						Integer.parseInt(words[3]))
					.isEmpty();
			}
		}
		return clean;
	}

	static List<String> play(long seed, long faultMillis, int entries, int guards)
			throws IOException, InterruptedException {
		Path folder = Path.of("target/soak/" + seed).toAbsolutePath();
		remove(folder);
		try (SoakRun run = new SoakRun(seed, entries, guards, folder)) {
			List<String> broken = run.play(faultMillis, CLIENTS);
			System.out.println(run.summary());
			broken.forEach((line) -> System.out.println("  " + line));
			if (!broken.isEmpty()) {
				Files.write(folder.resolve("broken.txt"), broken);
				System.out.println("  logs are in " + folder);
			}
			return broken;
		}
	}

	private static void remove(Path folder) throws IOException {
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
