/**
 * State machine of an entry: requests of callers, jobs and their tasks, links to guards
 * and other entries, and the home table.
 */
package io.coriandermux.core.entry;
