/**
 * Deterministic simulation of entries and guards with their network, store, endpoints and
 * callers on one simulated clock.
 */
package io.coriandermux.proof.simulation;
