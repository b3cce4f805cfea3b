package io.coriandermux.core.lease;

import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.run.RunId;

/**
 * A run of one entry. Entries number their runs independently, so the id of a run alone
 * does not tell whose run it is.
 *
 * @param owner the entry that has requested the run
 * @param run the run
 */
record OwnedRun(EntryIncarnation owner, RunId run) {

}
