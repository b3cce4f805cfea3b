/**
 * Text format for the external events of a run and its expected outcomes.
 */
package io.coriandermux.proof.trace;
