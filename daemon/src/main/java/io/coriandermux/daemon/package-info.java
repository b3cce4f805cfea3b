/**
 * Command line that starts entries and guards.
 */
package io.coriandermux.daemon;
