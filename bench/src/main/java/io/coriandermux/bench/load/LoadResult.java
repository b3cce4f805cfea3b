package io.coriandermux.bench.load;

import java.util.List;

/**
 * Result of a load run.
 *
 * @param options the options of the run
 * @param phases the phases after the warm-up
 * @param usages usage of each process in each phase, the idle phase included
 */
public record LoadResult(LoadOptions options, List<PhaseResult> phases, List<PhaseUsage> usages) {

}
