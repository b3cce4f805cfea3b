package io.coriandermux.bench.policy;

import java.util.Map;

/**
 * Result of the policy benchmark.
 *
 * @param options the options of the benchmark
 * @param workloads results by workload name
 */
public record PolicyBenchResult(PolicyBenchOptions options, Map<String, WorkloadResult> workloads) {

	/**
	 * Results of one workload.
	 *
	 * @param figures figures by policy: {@code coriandermux}, {@code central},
	 * {@code ideal}, the baselines, and the variants of {@code coriandermux}
	 * @param wastedByType wasted messages of {@code coriandermux} per task by type
	 */
	public record WorkloadResult(Map<String, PolicyFigures> figures, Map<String, Double> wastedByType) {
	}

}
