package io.coriandermux.core.dispatch;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.run.BatchId;

/**
 * Receives the results of claims.
 */
interface ClaimListener {

	/**
	 * Reports that runs of a batch may start.
	 * @param batch the batch
	 */
	void onGranted(BatchId batch);

	/**
	 * Reports that another entry has claimed a batch.
	 * @param batch the batch
	 * @param holder the claim and its age
	 * @param now the current time
	 */
	void onHeld(BatchId batch, BatchHolder holder, Moment now);

	/**
	 * Reports that another entry has taken a batch over.
	 * @param batch the batch
	 * @param guard the guard that has said so
	 * @param now the current time
	 */
	void onOvertaken(BatchId batch, GuardId guard, Moment now);

	/**
	 * Reports that most guards that keep the claims of a batch are away, so that another
	 * entry may have it.
	 * @param batch the batch
	 * @param now the current time
	 */
	void onUnreachable(BatchId batch, Moment now);

	/**
	 * Reports that the take-over of a batch has ended that has ended at this entry
	 * before.
	 * @param batch the batch
	 * @param now the current time
	 */
	void onTakeOverEnded(BatchId batch, Moment now);

}
