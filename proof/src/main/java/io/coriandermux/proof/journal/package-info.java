/**
 * Observations that the simulation records at the interfaces of the processes under test.
 */
package io.coriandermux.proof.journal;
