package io.coriandermux.core.guard;

import io.coriandermux.core.message.Start;

/**
 * Sends a task to the endpoint, whose response is reported as {@link TaskEnded}.
 *
 * @param start the message that requested it
 */
public record RunTask(Start start) implements GuardEffect {

}
