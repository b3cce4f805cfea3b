package io.coriandermux.daemon.batch;

import io.coriandermux.core.dispatch.BatchRouteTable;
import io.coriandermux.daemon.run.MalformedValueException;

/**
 * Where the configuration of batches stands in the store, and how it reads.
 *
 * @param key key of the configuration
 * @param reader reads the configuration
 */
public record ConfigSource(String key, Reader reader) {

	/**
	 * Reads a configuration.
	 */
	@FunctionalInterface
	public interface Reader {

		/**
		 * Reads a configuration.
		 * @param document the value in the store
		 * @return the tables
		 * @throws MalformedValueException if the value is malformed
		 */
		BatchRouteTable read(String document) throws MalformedValueException;

	}

}
