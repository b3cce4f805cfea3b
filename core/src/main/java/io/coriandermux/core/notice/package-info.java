/**
 * Notices to operators about decisions of the dispatcher.
 */
package io.coriandermux.core.notice;
