/**
 * Ranking of the guards that can take a task by cost, which is based on the expected run
 * time of the task at each guard.
 */
package io.coriandermux.core.place;
