package io.coriandermux.wire;

import io.coriandermux.core.id.Revision;

/**
 * Revisions in force at a process, which it reports in its heartbeats.
 *
 * @param config revision of the configuration in force
 * @param homes revision of the home table in force
 */
public record HeartbeatRevisions(Revision config, Revision homes) {

	/** Revisions of a process that has neither a configuration nor a home table yet. */
	public static final HeartbeatRevisions NONE = new HeartbeatRevisions(new Revision(0), new Revision(0));

}
