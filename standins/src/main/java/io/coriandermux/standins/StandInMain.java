package io.coriandermux.standins;

import java.util.concurrent.CountDownLatch;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line that runs one stand-in. It prints a line with the address once the
 * stand-in accepts requests.
 */
@Command(name = "standin", mixinStandardHelpOptions = true,
		description = "Runs a stand-in for one part of the platform.")
public final class StandInMain {

	private StandInMain() {
	}

	/**
	 * Runs the command line.
	 * @param args the arguments
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(new StandInMain()).execute(args));
	}

	/**
	 * Runs the store stand-in until the process is terminated.
	 * @param port the port on loopback, 0 for any free port
	 * @return the exit code
	 * @throws InterruptedException if the thread is interrupted
	 */
	@Command(name = "store", mixinStandardHelpOptions = true, description = "Runs the stand-in of the key-value store.")
	int runStore(@Option(names = "--port", defaultValue = "0",
			description = "Port on loopback, 0 for any free port.") int port) throws InterruptedException {
		try (StoreStandIn store = StoreStandIn.start(port)) {
			System.out.println("store ready at " + store.url());
			new CountDownLatch(1).await();
		}
		return 0;
	}

	/**
	 * Runs an endpoint stand-in until the process is terminated.
	 * @param port the port on loopback, 0 for any free port
	 * @param name the name of the endpoint
	 * @param slots the maximum number of tasks that run at the same time
	 * @param speed the run time of a task is its {@code sleepMs} divided by this factor
	 * @return the exit code
	 * @throws InterruptedException if the thread is interrupted
	 */
	@Command(name = "endpoint", mixinStandardHelpOptions = true, description = "Runs the stand-in of an endpoint.")
	int runEndpoint(
			@Option(names = "--port", defaultValue = "0",
					description = "Port on loopback, 0 for any free port.") int port,
			@Option(names = "--name", required = true, description = "Name of the endpoint.") String name,
			@Option(names = "--slots", defaultValue = "8",
					description = "Maximum number of tasks that run at the same time.") int slots,
			@Option(names = "--speed", defaultValue = "1",
					description = "Factor by which the sleepMs of a task is divided.") double speed)
			throws InterruptedException {
		try (EndpointStandIn endpoint = EndpointStandIn.start(port, name, slots, speed)) {
			System.out.println("endpoint " + name + " ready at " + endpoint.url());
			new CountDownLatch(1).await();
		}
		return 0;
	}

}
