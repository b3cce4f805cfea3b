/**
 * Load benchmark: submits jobs to running processes over loopback and measures added
 * latency, throughput, processor time and memory.
 */
package io.coriandermux.bench.load;
