package io.coriandermux.core.entry;

import io.coriandermux.core.id.Revision;

/**
 * Status of an entry for operators.
 *
 * @param tables revision of the configuration in force
 * @param homes revision of the home table in force
 * @param partitions partitions of which the entry is home
 * @param opening partitions whose jobs wait until the guards have answered a fence
 * @param jobs jobs with a record
 * @param activeJobs jobs without an outcome
 * @param waiting requests that wait for a reply
 * @param guards number of linked guards
 * @param usableGuards guards on which tasks may be placed
 * @param confirmedGuards guards that acknowledged a heartbeat within the home lease
 * @param peers number of linked entries
 * @param storeDown whether the last call to the store failed
 * @param shuttingDown whether the entry accepts no new job
 * @param shutdownFinished whether no job or request is in progress and every partition
 * that another entry can take has been handed over
 */
public record EntryStatus(Revision tables, Revision homes, int partitions, int opening, int jobs, int activeJobs,
		int waiting, int guards, int usableGuards, int confirmedGuards, int peers, boolean storeDown,
		boolean shuttingDown, boolean shutdownFinished) {

}
