package io.coriandermux.cli;

import io.coriandermux.config.TableKind;

/**
 * Parent of the commands for one kind of table.
 */
interface TableCommandGroup {

	/**
	 * Returns the kind of the table.
	 * @return the kind
	 */
	TableKind kind();

}
