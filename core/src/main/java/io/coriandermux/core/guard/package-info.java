/**
 * The state machine of a guard, which combines ledger, fence and slots.
 */
package io.coriandermux.core.guard;
