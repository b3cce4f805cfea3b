/**
 * Self-contained HTML pages with charts of benchmark results.
 */
package io.coriandermux.bench.report;
