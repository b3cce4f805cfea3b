/**
 * Checks that verify the guarantees against the observations of a run.
 */
package io.coriandermux.proof.check;
