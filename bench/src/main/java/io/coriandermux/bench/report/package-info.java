/**
 * Self-contained HTML pages with charts of bench results.
 */
package io.coriandermux.bench.report;
