package io.coriandermux.core.slot;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.Message;

/**
 * A message about credits from a guard to an entry.
 *
 * @param entry the recipient
 * @param message a {@code Credit} or {@code Recall}
 */
public record SlotMessage(EntryId entry, Message message) {

}
