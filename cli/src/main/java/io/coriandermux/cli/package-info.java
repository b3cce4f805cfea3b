/**
 * The command line {@code coriandermux}: commands for operators and callers.
 */
package io.coriandermux.cli;
