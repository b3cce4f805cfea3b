package io.coriandermux.core.notice;

/**
 * Kind of a notice, with the number of its log event.
 */
public enum NoticeKind {

	/** A job was accepted at its home. */
	JOB_ACCEPTED(2001),

	/** A job has ended with an outcome. */
	JOB_ENDED(2002),

	/** A request was refused. */
	REQUEST_REFUSED(2003),

	/** A resubmission was joined to a running job or answered with the stored outcome. */
	JOB_REPLAYED(2004),

	/** This entry has become the home of partitions and starts the take-over. */
	TAKE_OVER_STARTED(2101),

	/**
	 * All guards have answered the fence of a take-over, or the timeout has expired.
	 */
	TAKE_OVER_FINISHED(2102),

	/** A home lease has expired. */
	HOME_LEASE_LAPSED(2103),

	/** This entry writes a new home table. */
	HOMES_WRITTEN(2104),

	/** This entry is no longer the home of some partitions. */
	PARTITIONS_LOST(2105),

	/** An endpoint was ejected. */
	ENDPOINT_EJECTED(2201),

	/** An ejected endpoint receives tasks again. */
	ENDPOINT_READMITTED(2202),

	/** Waiting tasks were dropped because they could no longer meet their deadline. */
	TASKS_SHED(2203),

	/** A guard is lost. */
	GUARD_LOST(2301),

	/** An entry is lost. */
	ENTRY_LOST(2302),

	/** A guard is draining. */
	GUARD_LEAVING(2303),

	/** A message was dropped because it does not match a current attempt. */
	MESSAGE_DROPPED(2401),

	/** A guard refused to start a task. */
	START_REFUSED(2402),

	/** Partitions were fenced at a guard. */
	FENCED(2403),

	/** A new incarnation of the endpoint has reported. */
	ENDPOINT_BEGAN(2501),

	/** The endpoint runs only what its guard started. */
	ENDPOINT_SETTLED(2502),

	/** The endpoint has started or cancelled draining. */
	ENDPOINT_DRAINS(2503),

	/** The endpoint has deregistered. */
	ENDPOINT_LEFT(2504),

	/**
	 * A heartbeat of the endpoint was ignored because a newer one had arrived before, or
	 * because the incarnation that it names did not answer.
	 */
	ENDPOINT_REPORT_IGNORED(2505),

	/** The endpoint has not responded to an order. */
	ORDER_UNANSWERED(2506),

	/** A run that the guard did not start or no longer tracks was stopped. */
	ORPHAN_STOPPED(2507),

	/** The lease of the endpoint has expired because the endpoint does not respond. */
	LEASE_ENDED(2508),

	/**
	 * The runs of an entry were stopped because the entry did not confirm its session.
	 */
	SESSION_ENDED(2509),

	/** A run has ended without completing its work. */
	RUN_NOT_DONE(2510),

	/** The endpoint has received a higher fencing token. */
	TOKEN_RAISED(2511),

	/** The wall clock has jumped ahead of the monotonic clock. */
	CLOCK_JUMPED(2512),

	/**
	 * The guard refused an order to start a run and did not forward it to the endpoint.
	 */
	RUN_REFUSED(2513),

	/**
	 * The endpoint has given no answer for 0.5 s or more although the guard polls it.
	 */
	ENDPOINT_SILENT(2514),

	/** The endpoint answers again after a silence that was reported. */
	ENDPOINT_ANSWERS(2515),

	/** A batch was accepted. */
	BATCH_ACCEPTED(2601),

	/** A run was sent to a guard. */
	RUN_PLACED(2602),

	/** A task is scheduled to start again. */
	TASK_RETRIED(2603),

	/** A batch has ended and is answered. */
	BATCH_ENDED(2604),

	/** A batch was refused before any of its tasks was sent to a guard. */
	BATCH_REFUSED(2605),

	/** The caller of a batch has disconnected. */
	BATCH_ABANDONED(2606),

	/**
	 * The load of an endpoint has become known, or the endpoint has started or stopped
	 * accepting work.
	 */
	ENDPOINT_KNOWN(2607),

	/**
	 * A guard is unreachable; the state of its runs is unknown until it confirms their
	 * end.
	 */
	RUNS_UNKNOWN(2608),

	/** A configuration has come into force. */
	TABLES_IN_FORCE(2609),

	/**
	 * A guard received an order to start a run and forwarded it to its endpoint, or
	 * repeats it there.
	 */
	RUN_ORDERED(2701),

	/** The endpoint has answered a start order, or the call has timed out. */
	START_ANSWERED(2702),

	/** A run has certainly ended. */
	RUN_ENDED(2703),

	/** An entry or a guard has decided to stop a run. */
	STOP_REQUESTED(2704),

	/** A stop order was sent to the endpoint. */
	STOP_SENT(2705),

	/** A stop order was sent again because the run has not ended. */
	STOP_REPEATED(2706),

	/** The endpoint has answered a stop order, or the call has timed out. */
	STOP_ANSWERED(2707),

	/** A run whose stop was requested has certainly ended. */
	STOP_CONFIRMED(2708),

	/** A run counts as ended because of a timeout, without an answer of the endpoint. */
	RUN_RELEASED(2709),

	/** The endpoint runs a task whose start order was not answered in time. */
	LATE_START_ACTIVE(2710),

	/**
	 * A lease was granted although the session of the entry of a run was not confirmed
	 * for longer than the session timeout.
	 */
	LEASE_OUTLASTS_SESSION(2711),

	/**
	 * An entry ordered a run that the guard already holds for it or whose end it has
	 * reported to it.
	 */
	RUN_REORDERED(2712),

	/**
	 * A guard answers an entry about a run that it does not hold, from its record of
	 * recent ends or as not started.
	 */
	RUN_NOT_HELD(2713),

	/**
	 * The endpoint listed the end of a run that the guard does not hold: a run of a
	 * previous guard, or one that the guard counted as ended before.
	 */
	END_NOT_HELD(2714),

	/** A guard denied the claim of a batch because another entry holds the batch. */
	CLAIM_DENIED(2715),

	/** An entry takes a batch over whose former entry can't be asked. */
	BATCH_TAKE_OVER_REQUESTED(2716),

	/** A guard holds no run of another entry any more of a batch that is taken over. */
	BATCH_TAKE_OVER_GRANTED(2717),

	/** A guard denied the take-over of a batch, usually because of a later one. */
	BATCH_TAKE_OVER_DENIED(2718),

	/** A guard refused to start a run because another entry holds the batch. */
	START_CLAIMED(2719),

	/** A request to stop a run was dropped because the link to its guard is down. */
	STOP_DROPPED(2721),

	/** On a new link to a guard, an entry listed the runs that it holds there. */
	RUNS_LISTED(2722),

	/** An entry listed runs of batches that are already answered. */
	ANSWERED_RUNS_LISTED(2723),

	/** A caller has resubmitted a batch whose runs have not all ended. */
	BATCH_RESUBMITTED(2724),

	/** A guard has reported the end of a run to an entry. */
	RUN_END_RECEIVED(2725),

	/**
	 * A batch was submitted that other entries hold. It waits until they have released
	 * it.
	 */
	BATCH_HELD_ELSEWHERE(2726),

	/** Another entry has requested a batch that this entry holds, which is given up. */
	BATCH_RELEASED(2727),

	/** Another entry announces a batch that this entry has in progress. */
	BATCH_HELD_TWICE(2728),

	/**
	 * An entry is lost that has announced batches. They count as held until the
	 * permissions of its runs have ended.
	 */
	HOLDER_LOST(2729),

	/** A guard has answered the claim of a batch with the claim of another entry. */
	BATCH_CLAIM_DENIED(2730),

	/**
	 * The claim of a batch was granted in another way than by a majority of the guards
	 * that keep it.
	 */
	BATCH_CLAIMED(2731),

	/** The guards or entries at which this entry claims batches have changed. */
	CLAIM_MEMBERS_CHANGED(2732);

	private final int number;

	NoticeKind(int number) {
		this.number = number;
	}

	/**
	 * Returns the number of the log event.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

}
