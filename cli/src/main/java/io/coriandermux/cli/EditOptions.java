package io.coriandermux.cli;

import java.util.OptionalLong;

import io.coriandermux.config.EditIdentity;
import picocli.CommandLine.Option;

/**
 * Options of commands that edit a table.
 */
final class EditOptions {

	@Option(names = "--editor", paramLabel = "NAME", required = true,
			description = "Name of the editor, stored in the audit record.")
	private String editor;

	@Option(names = "--dry-run", description = "Validate all documents and show the difference, but write nothing.")
	private boolean dryRun;

	@Option(names = "--base", paramLabel = "REVISION",
			description = "Revision that the edit is based on; a different one in the store is a conflict.")
	private Long base;

	boolean isDryRun() {
		return this.dryRun;
	}

	OptionalLong base() {
		return (this.base != null) ? OptionalLong.of(this.base) : OptionalLong.empty();
	}

	EditIdentity identity(CliContext context) {
		return new EditIdentity(context.idGenerator().get(), this.editor, context.clock().instant().toString());
	}

}
