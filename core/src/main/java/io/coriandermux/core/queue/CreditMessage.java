package io.coriandermux.core.queue;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.message.Message;

/**
 * A message about credits from the scheduler to a guard.
 *
 * @param guard the recipient
 * @param message a {@code Demand} or {@code Release}
 */
public record CreditMessage(GuardId guard, Message message) {

}
