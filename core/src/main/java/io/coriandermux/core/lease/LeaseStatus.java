package io.coriandermux.core.lease;

/**
 * State of a guard for operators.
 *
 * @param endpoint the current incarnation of the endpoint, empty if none is known
 * @param settled whether all runs of previous guards are known to have ended
 * @param accepting whether the guard accepts runs
 * @param runs number of runs that hold resources
 * @param sessions number of entries with a session
 * @param token fencing token
 */
public record LeaseStatus(String endpoint, boolean settled, boolean accepting, int runs, int sessions, long token) {

}
