/**
 * Allocation of the slots of an endpoint to entries by means of credits, at the guard.
 */
package io.coriandermux.core.slot;
