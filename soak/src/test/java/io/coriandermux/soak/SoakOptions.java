package io.coriandermux.soak;

import java.util.Optional;

/**
 * What a run is played with, apart from its seed.
 *
 * @param entries number of entries
 * @param guards number of guards
 * @param range the kinds of faults
 * @param load the load of the callers
 * @param coldPlan the plan of a cold run, empty if the processes serve before the faults
 * @param quotaPercent the share of the processor quotas of the deployment that the
 * processes have, in percent, or 0 if no quota is emulated
 */
record SoakOptions(int entries, int guards, FaultRange range, SiteCallers.Load load, Optional<ColdPlan> coldPlan,
		int quotaPercent) {

	SoakOptions(int entries, int guards, FaultRange range, SiteCallers.Load load) {
		this(entries, guards, range, load, Optional.empty(), 0);
	}

	boolean hasQuota() {
		return this.quotaPercent > 0;
	}

	boolean isCold() {
		return this.coldPlan.isPresent();
	}

}
