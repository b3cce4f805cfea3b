/**
 * Soak tests: run the real processes, inject faults from outside, and check the
 * guarantees by what callers and endpoints observe.
 */
package io.coriandermux.soak;
