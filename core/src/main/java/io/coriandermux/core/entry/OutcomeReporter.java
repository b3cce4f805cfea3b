package io.coriandermux.core.entry;

import io.coriandermux.core.accept.JobRecord;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.reply.Requester;

/**
 * Replies with the outcomes and refusals of this home. A job or task is reported as not
 * run only while no other entry can be home, since another home may have run it.
 */
final class OutcomeReporter {

	static final String UNCONFIRMED = "this entry is not confirmed as home, another home may have run the job";

	private static final long RETRY_AFTER_MILLIS = 500;

	private final EntryContext context;

	private final HomeLease lease;

	private final PeerRegistry peers;

	private final HomeTableManager homes;

	OutcomeReporter(EntryContext context, HomeLease lease, PeerRegistry peers, HomeTableManager homes) {
		this.context = context;
		this.lease = lease;
		this.peers = peers;
		this.homes = homes;
	}

	// Besides the guards, all listed entries together can confirm a home, since every
	// take-over is made by one of them. This covers a pool whose guards are all dead.
	private boolean isHomeConfirmed(OwnerId owner) {
		return this.lease.isConfirmed(owner) || (!this.homes.isStoreDown() && this.peers.isHomeTableConfirmed());
	}

	void reply(Requester requester, JobRecord job) {
		this.context.reply(requester,
				isHomeConfirmed(job.key().owner()) ? job.outcome() : job.unconfirmedOutcome(UNCONFIRMED));
	}

	void refuse(Requester requester, OwnerId owner, Refusal refusal) {
		if (refusal.outcome() == Outcome.NOT_RUN && !isHomeConfirmed(owner)) {
			this.context.refuse(requester, Outcome.UNDECIDED, ReplyCode.HOME_UNCONFIRMED, UNCONFIRMED,
					RETRY_AFTER_MILLIS);
			return;
		}
		this.context.refuse(requester, refusal.outcome(), refusal.code(), refusal.reason(), refusal.retryAfterMillis());
	}

}
