package io.coriandermux.daemon.settings;

import java.util.Map;

import io.coriandermux.core.id.OwnerId;

/**
 * Settings of an entry process.
 *
 * @param process settings that all processes share
 * @param callersPort HTTP port for callers, 0 for any free port
 * @param owners owners by the SHA-256 of their key in lower-case hexadecimal digits
 * @param maxJobs maximum number of jobs that the entry holds
 * @param answerBytes maximum total size of the answers that the entry holds, in bytes
 * @param bodyBytes maximum size of a caller's request body in bytes
 * @param bodyMillis time limit for receiving a caller's request body in milliseconds
 * @param guardLinks maximum number of guards that the entry is linked to
 */
public record EntryProcessSettings(ProcessSettings process, int callersPort, Map<String, OwnerId> owners, int maxJobs,
		long answerBytes, long bodyBytes, long bodyMillis, int guardLinks) {

}
