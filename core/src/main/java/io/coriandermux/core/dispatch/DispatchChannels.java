package io.coriandermux.core.dispatch;

import java.util.function.Consumer;

import io.coriandermux.core.notice.Notice;

/**
 * Receivers of what an entry decides.
 *
 * @param callers sends answers to callers
 * @param guards sends messages to guards
 * @param peers sends messages to other entries
 * @param notices receives notices for operators
 */
public record DispatchChannels(CallerChannel callers, GuardChannel guards, PeerChannel peers,
		Consumer<Notice> notices) {

}
