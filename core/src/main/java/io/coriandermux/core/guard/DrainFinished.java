package io.coriandermux.core.guard;

/**
 * Reports that the last task has ended after a drain, so that the process can stop.
 */
public record DrainFinished() implements GuardEffect {

}
