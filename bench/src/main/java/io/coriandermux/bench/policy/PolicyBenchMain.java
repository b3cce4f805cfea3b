package io.coriandermux.bench.policy;

import java.io.IOException;
import java.util.Arrays;

/**
 * Runs the policy benchmark with the default options. Arguments: {@code json} adds the
 * JSON line, {@code quick} leaves out the variants, a number replaces the first seed.
 */
public final class PolicyBenchMain {

	private PolicyBenchMain() {
	}

	/**
	 * Runs the benchmark and prints the table.
	 * @param arguments the arguments
	 * @throws IOException if the workloads cannot be read or the figures cannot be
	 * written
	 */
	public static void main(String[] arguments) throws IOException {
		PolicyBenchOptions defaults = PolicyBenchOptions.defaults();
		long seed = Arrays.stream(arguments)
			.filter((argument) -> argument.chars().allMatch(Character::isDigit))
			.mapToLong(Long::parseLong)
			.findFirst()
			.orElse(defaults.seed());
		boolean quick = Arrays.asList(arguments).contains("quick");
		PolicyBenchResult result = PolicyBench
			.run(new PolicyBenchOptions(seed, defaults.runs(), defaults.seconds(), defaults.load(), !quick));
		PolicyBenchReport report = new PolicyBenchReport(System.out);
		report.printTable(result);
		if (Arrays.asList(arguments).contains("json")) {
			report.printJson(result);
		}
	}

}
