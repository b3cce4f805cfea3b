/**
 * Requests from callers and the replies to them.
 */
package io.coriandermux.core.api;
