package io.coriandermux.core.entry;

import io.coriandermux.core.member.EntryInfo;

/**
 * Settings of an {@link EntryNode}.
 *
 * @param self the entry's announcement
 * @param retentionMillis retention of job ids in milliseconds; job records are kept
 * longer by the maximum clock skew
 * @param maxJobs limit on the number of jobs, and on the number of waiting requests
 * @param answerBytes limit on the bytes of the answers of finished jobs
 */
public record EntrySettings(EntryInfo self, long retentionMillis, int maxJobs, long answerBytes) {

	/** Default retention in milliseconds. */
	public static final long DEFAULT_RETENTION_MILLIS = 120_000L;

	/** Default limit on the number of jobs. */
	public static final int DEFAULT_MAX_JOBS = 100_000;

	/** Default limit on the bytes of answers: 256 MiB. */
	public static final long DEFAULT_ANSWER_BYTES = 1L << 28;

	/**
	 * Returns settings with the default limits.
	 * @param self the entry's announcement
	 * @return the settings
	 */
	public static EntrySettings of(EntryInfo self) {
		return new EntrySettings(self, DEFAULT_RETENTION_MILLIS, DEFAULT_MAX_JOBS, DEFAULT_ANSWER_BYTES);
	}

}
