/**
 * Shell of an entry: feeds events to the state machine and executes its effects.
 */
package io.coriandermux.daemon.entry;
