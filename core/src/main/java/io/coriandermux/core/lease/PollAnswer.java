package io.coriandermux.core.lease;

import java.util.List;

/**
 * Answer of an endpoint to a poll: its active runs and the runs that have ended.
 *
 * @param clockMillis the endpoint's clock in milliseconds
 * @param startedAtMillis start time of the answering incarnation in milliseconds since
 * 1970
 * @param active the active runs
 * @param ended the runs that have ended since the last end that the poll acknowledges
 */
public record PollAnswer(long clockMillis, long startedAtMillis, List<ActiveRun> active, List<EndedRun> ended) {

}
