/**
 * Queueing, fair ordering and placement of tasks at the home of their jobs.
 */
package io.coriandermux.core.queue;
