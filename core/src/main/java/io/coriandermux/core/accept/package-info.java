/**
 * Checks of submitted jobs, and the records of accepted jobs at their home.
 */
package io.coriandermux.core.accept;
