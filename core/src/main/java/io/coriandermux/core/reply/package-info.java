/**
 * Pending requests of callers and the replies to them.
 */
package io.coriandermux.core.reply;
