/**
 * Runs the real processes under faults from outside and checks what callers and endpoints
 * see.
 */
package io.coriandermux.soak;
