package io.coriandermux.version;

/**
 * Identifies the sources that a program was built from.
 *
 * @param release version of the project
 * @param commit first 12 digits of the commit, {@code unknown} if the build had no
 * repository
 * @param changed whether the sources differed from the commit; false if it is unknown
 * @param digest first 12 digits of the digest of the sources, which is the same in any
 * folder and on any machine
 */
public record ProgramVersion(String release, String commit, boolean changed, String digest) {

	/**
	 * Returns the version of the running program. It is compiled into a class, so that a
	 * start reads no resource from a jar.
	 * @return the version
	 */
	public static ProgramVersion current() {
		return GeneratedVersion.value();
	}

	@Override
	public String toString() {
		return this.release + ", commit " + this.commit + (this.changed ? " changed" : "") + ", sources " + this.digest;
	}

}
