/**
 * Settings of the processes, read from JSON files.
 */
package io.coriandermux.daemon.settings;
