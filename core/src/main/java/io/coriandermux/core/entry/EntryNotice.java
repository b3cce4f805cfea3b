package io.coriandermux.core.entry;

import io.coriandermux.core.notice.Notice;

/**
 * Publishes a notice for operators in the log and the event list.
 *
 * @param notice the notice
 */
public record EntryNotice(Notice notice) implements EntryEffect {

}
