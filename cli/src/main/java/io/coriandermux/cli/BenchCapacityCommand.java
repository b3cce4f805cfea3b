package io.coriandermux.cli;

import java.util.concurrent.Callable;

import io.coriandermux.bench.capacity.CapacityMain;
import picocli.CommandLine.Command;

/**
 * Measures the growth rates listed in docs/CAPACITY.md.
 */
@Command(name = "capacity", mixinStandardHelpOptions = true,
		description = "Measures how processor time, memory and bytes grow per task, guard, owner and message.")
final class BenchCapacityCommand implements Callable<Integer> {

	@Override
	public Integer call() throws Exception {
		System.out.print(CapacityMain.report());
		return ExitCode.OK.number();
	}

}
