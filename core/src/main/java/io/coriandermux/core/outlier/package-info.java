/**
 * Ejection of endpoints that fail more often than the other endpoints of their pool.
 */
package io.coriandermux.core.outlier;
