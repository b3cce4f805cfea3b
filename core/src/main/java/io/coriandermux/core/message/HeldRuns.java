package io.coriandermux.core.message;

import java.util.List;

import io.coriandermux.core.run.RunId;

/**
 * Lists, on a new connection, the runs that an entry has requested from a guard and whose
 * end was not reported to it. The guard stops all other runs of the entry and reports the
 * listed runs that have ended.
 *
 * @param runs the runs
 */
public record HeldRuns(List<RunId> runs) implements Message {

}
