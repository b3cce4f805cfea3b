/**
 * The record of started tasks at the guard.
 */
package io.coriandermux.core.ledger;
