package io.coriandermux.version;

import picocli.CommandLine;

/**
 * Supplies the text of the option {@code --version}.
 */
public final class VersionProvider implements CommandLine.IVersionProvider {

	/**
	 * Creates the provider.
	 */
	public VersionProvider() {
		// The version is that of the program.
	}

	@Override
	public String[] getVersion() {
		return new String[] { "coriandermux " + ProgramVersion.current() };
	}

}
