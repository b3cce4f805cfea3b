package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.proof.journal.JobSettled;

/**
 * A simulated caller with one job: submits it, fetches or resubmits it until it receives
 * a final outcome, and performs the cancellation and the replays of its plan.
 */
final class Caller {

	private static final long RETRY_MILLIS = 200;

	private static final int MAX_REQUESTS = 400;

	private final Simulation simulation;

	private final JobPlan plan;

	private final long createdAtMillis;

	private JobId id;

	private String outcome = "";

	private int replaysLeft;

	private int requests;

	private boolean replayPending;

	private final List<String> replayOutcomes = new ArrayList<>();

	Caller(Simulation simulation, JobPlan plan) {
		this.simulation = simulation;
		this.plan = plan;
		this.createdAtMillis = simulation.wallClockMillis();
		this.replaysLeft = plan.replays();
		if (plan.form() == JobPlan.IdForm.FREE) {
			this.id = new JobId(plan.name());
		}
		else if (plan.form() == JobPlan.IdForm.TIME) {
			this.id = new JobId(simulation.newUuid(this.createdAtMillis));
		}
	}

	JobPlan plan() {
		return this.plan;
	}

	// Returns the first final outcome and its code as text, empty until it is received.
	String outcome() {
		return this.outcome;
	}

	// Returns the job's key, or null until an id is reserved.
	JobKey key() {
		return (this.id != null) ? new JobKey(this.plan.owner(), this.id.text()) : null;
	}

	// Returns the outcomes of the replays in order.
	List<String> replayOutcomes() {
		return this.replayOutcomes;
	}

	void start() {
		submit(this.plan.entry());
		if (this.plan.resubmitAfterMillis() > 0) {
			this.simulation.clock()
				.scheduleAfter(this.plan.resubmitAfterMillis() * SimulatedClock.NANOS_PER_MILLI, () -> {
					if (this.outcome.isEmpty() && this.id != null) {
						resubmit();
					}
				});
		}
		if (this.plan.cancelAfterMillis() > 0) {
			this.simulation.clock()
				.scheduleAfter(this.plan.cancelAfterMillis() * SimulatedClock.NANOS_PER_MILLI, this::cancel);
		}
	}

	void cancel() {
		if (this.outcome.isEmpty() && this.id != null) {
			send("", new CancelJob(this.plan.owner(), this.id));
		}
	}

	private void submit(String entry) {
		if (this.id == null) {
			send(entry, new ReserveJobId(this.plan.owner()));
		}
		else {
			send(entry, this.plan.toSubmitJob(this.id, this.createdAtMillis()));
		}
	}

	private long createdAtMillis() {
		return this.id.createdAtMillis().orElse(this.createdAtMillis);
	}

	private void resubmit() {
		this.simulation.onStep(Step.RESUBMIT, null, "", key());
		submit("");
	}

	private void send(String entry, CallerRequest request) {
		if (this.requests++ < MAX_REQUESTS) {
			this.simulation.sendRequest(this, entry, request);
		}
	}

	void onReply(CallerRequest request, CallerReply reply) {
		if (reply instanceof JobIdReserved reserved) {
			this.id = reserved.job();
			submit("");
			return;
		}
		if (request instanceof CancelJob) {
			return;
		}
		if (reply instanceof JobRunning) {
			if (awaitsOutcome()) {
				send("", new FetchJob(this.plan.owner(), this.id, this.plan.waitMillis()));
			}
			return;
		}
		if (isFinal(reply)) {
			recordOutcome(outcomeText(reply));
			return;
		}
		long after = (reply instanceof Refusal refusal) ? refusal.retryAfterMillis() : 0;
		retryAfter(Math.max(RETRY_MILLIS, after));
	}

	private boolean awaitsOutcome() {
		return this.outcome.isEmpty() || this.replayPending;
	}

	private static boolean isFinal(CallerReply reply) {
		if (reply instanceof JobOutcome outcome) {
			return outcome.outcome() != Outcome.UNDECIDED;
		}
		if (reply instanceof Refusal refusal) {
			return refusal.outcome() != Outcome.UNDECIDED && refusal.code() != ReplyCode.UNKNOWN_JOB
					&& refusal.code() != ReplyCode.SHUTTING_DOWN && refusal.code() != ReplyCode.NO_CONFIGURATION;
		}
		return false;
	}

	private static String outcomeText(CallerReply reply) {
		String text;
		if (reply instanceof JobOutcome outcome) {
			text = outcome.outcome() + "/" + outcome.code();
		}
		else {
			Refusal refusal = (Refusal) reply;
			text = refusal.outcome() + "/" + refusal.code();
		}
		return text.toLowerCase(Locale.ROOT);
	}

	// Retries a request that ended without a reply, unless it is a cancellation.
	void onConnectionBroken(CallerRequest request) {
		if (!(request instanceof CancelJob)) {
			retryAfter(RETRY_MILLIS);
		}
	}

	private void retryAfter(long afterMillis) {
		this.simulation.clock().scheduleAfter(afterMillis * SimulatedClock.NANOS_PER_MILLI, () -> {
			if (!awaitsOutcome()) {
				return;
			}
			if (this.id == null) {
				submit("");
			}
			else {
				resubmit();
			}
		});
	}

	private void recordOutcome(String outcome) {
		if (this.outcome.isEmpty()) {
			this.outcome = outcome;
			this.simulation.journal().add(new JobSettled(this.simulation.clock().now(), key(), outcome));
		}
		else if (this.replayPending) {
			this.replayOutcomes.add(outcome);
		}
		this.replayPending = false;
		if (this.replaysLeft > 0) {
			this.replaysLeft--;
			this.replayPending = true;
			this.simulation.clock()
				.scheduleAfter(this.plan.replayGapMillis() * SimulatedClock.NANOS_PER_MILLI, this::resubmit);
		}
	}

}
