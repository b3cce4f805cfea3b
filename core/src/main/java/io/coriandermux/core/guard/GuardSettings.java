package io.coriandermux.core.guard;

import io.coriandermux.core.member.GuardInfo;

/**
 * Settings of a {@link GuardNode}.
 *
 * @param self the guard's announcement
 * @param retentionMillis retention of job ids in milliseconds; ledger entries are kept
 * longer by the maximum clock skew
 * @param ledgerBytes limit on the size of the ledger in bytes
 * @param startedAtEpochMillis when the process started, wall clock
 */
public record GuardSettings(GuardInfo self, long retentionMillis, long ledgerBytes, long startedAtEpochMillis) {

}
