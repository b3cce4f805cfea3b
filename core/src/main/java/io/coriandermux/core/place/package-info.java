/**
 * Ranking of the guards that can take a task by their expected finish time.
 */
package io.coriandermux.core.place;
