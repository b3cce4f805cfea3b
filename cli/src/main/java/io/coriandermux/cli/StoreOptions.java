package io.coriandermux.cli;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreUnavailableException;
import picocli.CommandLine.Option;

/**
 * Options with the addresses of the store.
 */
final class StoreOptions {

	private static final String STORE_VARIABLE = "CORIANDERMUX_STORE";

	@Option(names = "--store", paramLabel = "URL", split = ",",
			description = "Addresses of the store, separated by commas (default: environment variable " + STORE_VARIABLE
					+ ").")
	private List<URI> urls = new ArrayList<>();

	@Option(names = "--timeout-ms", paramLabel = "MS", defaultValue = "3000",
			description = "Time limit of a call to the store in milliseconds (default: ${DEFAULT-VALUE}).")
	private long timeoutMillis;

	/**
	 * Opens a client of the store.
	 * @param context the context of the command
	 * @return the tables in the store
	 * @throws CliException if no address is given
	 * @throws StoreUnavailableException if the client cannot start
	 */
	TableStore open(CliContext context) throws CliException, StoreUnavailableException {
		List<URI> addresses = new ArrayList<>(this.urls);
		if (addresses.isEmpty() && context.environment().containsKey(STORE_VARIABLE)) {
			for (String url : context.environment().get(STORE_VARIABLE).split(",")) {
				addresses.add(URI.create(url));
			}
		}
		if (addresses.isEmpty()) {
			throw new CliException(ExitCode.USAGE, "give the store's address with --store or " + STORE_VARIABLE);
		}
		return new TableStore(new StoreClient(addresses, Duration.ofMillis(this.timeoutMillis)), context.sleeper());
	}

	/**
	 * Option with the owner of the table.
	 */
	static final class Owner {

		@Option(names = "--owner", required = true, description = "The owner of the table.")
		private String owner;

		OwnerId id() {
			return new OwnerId(this.owner);
		}

	}

}
