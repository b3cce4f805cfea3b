/**
 * Shell of a guard: feeds events to the state machine and executes its effects.
 */
package io.coriandermux.daemon.guard;
