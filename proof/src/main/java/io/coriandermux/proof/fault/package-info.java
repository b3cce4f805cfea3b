/**
 * Faults, the matrix of each fault at each step of a job or an edit, and random pairs of
 * faults.
 */
package io.coriandermux.proof.fault;
