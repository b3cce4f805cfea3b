package io.coriandermux.core.guard;

import io.coriandermux.core.notice.Notice;

/**
 * Publishes a notice to operators.
 *
 * @param notice the notice
 */
public record GuardNotice(Notice notice) implements GuardEffect {

}
