/**
 * Fencing at the guard: refuses starts under a stale epoch of a partition.
 */
package io.coriandermux.core.fence;
