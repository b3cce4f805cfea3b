package io.coriandermux.bench.load;

/**
 * Resource usage of a process and the traffic on its links at one time.
 *
 * @param process processor time and memory of the process
 * @param linkBytes bytes sent and received on links since the process started
 */
public record UsageSample(ProcessUsage process, long linkBytes) {

}
