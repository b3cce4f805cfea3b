package io.coriandermux.core.guard;

/**
 * An action that {@link GuardNode} decided on. Actions are carried out in order.
 */
public sealed interface GuardEffect permits SendToEntry, RunTask, AbortTask, DrainFinished, GuardNotice {

}
