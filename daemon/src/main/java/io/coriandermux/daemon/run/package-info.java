/**
 * Threads, platform store access, life cycle and metrics of a process.
 */
package io.coriandermux.daemon.run;
