/**
 * Admission control: limits on the tasks that are queued.
 */
package io.coriandermux.core.admission;
