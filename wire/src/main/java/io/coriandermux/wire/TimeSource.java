package io.coriandermux.wire;

import io.coriandermux.core.id.Moment;

/**
 * Clock of a process. Tests use an implementation that they pause and advance.
 */
@FunctionalInterface
public interface TimeSource {

	/**
	 * Returns the current time.
	 * @return the time
	 */
	Moment now();

}
