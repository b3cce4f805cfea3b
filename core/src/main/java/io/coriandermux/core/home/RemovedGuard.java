package io.coriandermux.core.home;

import io.coriandermux.core.member.GuardInfo;

/**
 * A guard that is no longer in the list of guards.
 *
 * @param guard its last announcement
 * @param removedAtEpochMillis when a list without it was first read, wall clock
 */
public record RemovedGuard(GuardInfo guard, long removedAtEpochMillis) {

}
