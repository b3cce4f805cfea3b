/**
 * Numbered log events, their JSON output, and the list of recent events for operators.
 */
package io.coriandermux.daemon.log;
