/**
 * Simulation tests of the guarantees under injected faults: fault matrix, fault pairs and
 * recorded traces.
 */
package io.coriandermux.proof;
