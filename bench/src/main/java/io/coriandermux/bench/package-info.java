/**
 * Benchmarks and capacity probes of the dispatcher.
 */
package io.coriandermux.bench;
