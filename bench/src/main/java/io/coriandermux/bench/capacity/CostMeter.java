package io.coriandermux.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Measures the processor time and the retained memory of an operation.
 */
final class CostMeter {

	private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

	/**
	 * A second collection also frees objects that finalization and reference processing
	 * released.
	 */
	private static final int COLLECTIONS = 2;

	private CostMeter() {
	}

	/**
	 * Measures the processor time of an operation on the current thread.
	 * @param operation the operation
	 * @return the time in nanoseconds
	 */
	static double processorNanos(Runnable operation) {
		long before = THREADS.getCurrentThreadCpuTime();
		operation.run();
		return THREADS.getCurrentThreadCpuTime() - before;
	}

	/**
	 * Measures the memory that the result of an operation retains.
	 * @param operation the operation
	 * @return the retained bytes
	 */
	static double retainedBytes(Supplier<Object> operation) {
		List<Object> retained = new ArrayList<>(1);
		long before = usedBytes();
		retained.add(operation.get());
		long after = usedBytes();
		// Keeps the result reachable until after the last collection.
		return retained.isEmpty() ? 0 : after - before;
	}

	private static long usedBytes() {
		for (int collection = 0; collection < COLLECTIONS; collection++) {
			System.gc();
		}
		Runtime runtime = Runtime.getRuntime();
		return runtime.totalMemory() - runtime.freeMemory();
	}

}
