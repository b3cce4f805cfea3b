/**
 * Decision logic of the dispatcher: deterministic code that uses no threads, sockets,
 * clocks or random sources.
 */
package io.coriandermux.core;
