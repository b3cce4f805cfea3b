/**
 * Mutations of the decision logic that each break a guarantee, to verify that the checks
 * detect violations.
 */
package io.coriandermux.proof.mutation;
