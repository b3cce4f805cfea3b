/**
 * Policy benchmark: runs the scheduler and the slot allocator of the dispatcher in
 * virtual time and compares them with other policies on the same arrivals.
 */
package io.coriandermux.bench.policy;
