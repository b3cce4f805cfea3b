/**
 * Capacity probes: measure how processor time, memory and bytes grow with the load and
 * the size of the fleet.
 */
package io.coriandermux.bench.capacity;
