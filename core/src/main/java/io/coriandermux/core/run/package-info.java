/**
 * Value types for the runs of tasks at endpoints, shared by entries and guards.
 */
package io.coriandermux.core.run;
