package io.coriandermux.core.queue;

import java.util.List;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.table.Tables;

/**
 * Queues tasks at the home of their jobs and places them on guards from which the entry
 * holds credits. Implementations are deterministic: they use no clock, thread or random
 * source, and do not depend on epochs, ledgers and job records.
 */
public interface Scheduler {

	/**
	 * Applies a configuration: pools and their endpoints and shares.
	 * @param tables the configuration
	 */
	void applyTables(Tables tables);

	/**
	 * Adds a guard that is connected and fenced.
	 * @param guard its announcement
	 * @param now the current time
	 */
	void onGuardConnected(GuardInfo guard, Moment now);

	/**
	 * Removes a guard and discards its credits.
	 * @param guard the guard
	 */
	void onGuardDisconnected(GuardId guard);

	/**
	 * Stops placing tasks on a guard that drains.
	 * @param guard the guard
	 */
	void onGuardDraining(GuardId guard);

	/**
	 * Admits or refuses all tasks of one job together, and queues them if they are
	 * admitted.
	 * @param tasks the tasks
	 * @param now the current time
	 * @return the decision
	 */
	Admission offer(List<QueuedTask> tasks, Moment now);

	/**
	 * Removes a waiting task.
	 * @param task the task
	 * @return whether it was waiting
	 */
	boolean remove(TaskKey task);

	/**
	 * Puts a placed task that its guard refused, and therefore did not start, back at the
	 * front of its queue.
	 * @param task the task
	 * @param guard the guard that refused it
	 * @param creditLost whether the credit is lost as well
	 * @param now the current time
	 */
	void onStartRefused(QueuedTask task, GuardId guard, boolean creditLost, Moment now);

	/**
	 * Records the end of a placed task.
	 * @param task the task
	 * @param guard the guard
	 * @param success whether the endpoint succeeded
	 * @param runNanos run time at the endpoint in nanoseconds
	 * @param creditReturned whether the answer returned the credit
	 * @param now the current time
	 */
	void onTaskEnded(TaskKey task, GuardId guard, boolean success, long runNanos, boolean creditReturned, Moment now);

	/**
	 * Adds credits granted by a guard.
	 * @param guard the guard
	 * @param count number of credits
	 */
	void onCreditsGranted(GuardId guard, int count);

	/**
	 * Removes unused credits that a guard recalls.
	 * @param guard the guard
	 * @param count number of credits that the guard recalls
	 * @return number of credits to release, from 0 to {@code count}
	 */
	int releaseCredits(GuardId guard, int count);

	/**
	 * Places waiting tasks on guards as long as credits allow. Call it after each event.
	 * @param now the current time
	 * @return the placements in order
	 */
	List<Placement> place(Moment now);

	/**
	 * Removes waiting tasks that can no longer meet their deadline.
	 * @param now the current time
	 * @return the removed tasks
	 */
	List<QueuedTask> removeExpired(Moment now);

	/**
	 * Returns the messages about credits to send now. Call it after {@link #place}.
	 * @param now the current time
	 * @return the messages
	 */
	List<CreditMessage> creditMessages(Moment now);

}
