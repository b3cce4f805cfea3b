/**
 * Estimates of run times and endpoint speeds, learned from observed run times.
 */
package io.coriandermux.core.estimate;
