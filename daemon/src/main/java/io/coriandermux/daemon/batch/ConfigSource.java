package io.coriandermux.daemon.batch;

import io.coriandermux.core.dispatch.BatchRouteTable;
import io.coriandermux.daemon.run.MalformedValueException;

/**
 * Location and format of the configuration of batches in the store.
 *
 * @param key key of the configuration
 * @param reader parses the configuration
 */
public record ConfigSource(String key, Reader reader) {

	/**
	 * Parses a configuration.
	 */
	@FunctionalInterface
	public interface Reader {

		/**
		 * Parses a configuration.
		 * @param document the value in the store
		 * @return the routes of the configuration
		 * @throws MalformedValueException if the value is malformed
		 */
		BatchRouteTable read(String document) throws MalformedValueException;

	}

}
