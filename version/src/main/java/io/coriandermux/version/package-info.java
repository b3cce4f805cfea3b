/**
 * The version of the program, which the build derives from its sources.
 */
package io.coriandermux.version;
