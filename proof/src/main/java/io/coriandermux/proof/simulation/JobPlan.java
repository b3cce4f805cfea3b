package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.proof.trace.TraceEvent;

/**
 * The parameters of a job and what its caller does with it.
 *
 * @param name name of the job in the trace
 * @param owner the owner
 * @param form form of the id
 * @param entry the entry that receives the first request, {@code away} for one other than
 * the home of the job, empty for any
 * @param tasks number of tasks
 * @param runMillis actual run time of a task in milliseconds
 * @param declaredMillis declared run time in milliseconds
 * @param deadlineMillis deadline for the answer in milliseconds
 * @param waitMillis how long a request waits for the outcome in milliseconds
 * @param cores declared cores of a task
 * @param path path of the tasks
 * @param nonIdempotent whether the job is marked non-idempotent
 * @param resubmitAfterMillis time after which the caller resubmits through a random entry
 * if it has no outcome, in milliseconds, 0 for never
 * @param cancelAfterMillis time after which the caller cancels, in milliseconds, 0 for
 * never
 * @param replays number of resubmissions after the outcome
 * @param replayGapMillis delay before each of these resubmissions in milliseconds
 */
record JobPlan(String name, OwnerId owner, IdForm form, String entry, int tasks, long runMillis, long declaredMillis,
		long deadlineMillis, long waitMillis, int cores, String path, boolean nonIdempotent, long resubmitAfterMillis,
		long cancelAfterMillis, int replays, long replayGapMillis) {

	private static final long DEFAULT_RUN_MILLIS = 100;

	private static final long DEFAULT_DEADLINE_MILLIS = 20_000;

	private static final long DEFAULT_WAIT_MILLIS = 5000;

	private static final int MEMORY_MB = 100;

	static JobPlan of(TraceEvent event) {
		long run = event.number("run", DEFAULT_RUN_MILLIS);
		return new JobPlan(event.text("name", "job"), new OwnerId(event.text("owner", "guild")),
				IdForm.valueOf(event.text("form", "free").toUpperCase(Locale.ROOT)), event.text("entry", ""),
				(int) event.number("tasks", 1), run, event.number("declared", run),
				event.number("deadline", DEFAULT_DEADLINE_MILLIS), event.number("wait", DEFAULT_WAIT_MILLIS),
				(int) event.number("cores", 1), event.text("path", "/run"), event.number("once", 0) > 0,
				event.number("impatient", 0), event.number("cancel", 0), (int) event.number("replays", 0),
				event.number("gap", 1000));
	}

	JobPlan withName(String newName) {
		return new JobPlan(newName, this.owner, this.form, this.entry, this.tasks, this.runMillis, this.declaredMillis,
				this.deadlineMillis, this.waitMillis, this.cores, this.path, this.nonIdempotent,
				this.resubmitAfterMillis, this.cancelAfterMillis, this.replays, this.replayGapMillis);
	}

	JobPlan withDeclaredMillis(long newDeclaredMillis) {
		return new JobPlan(this.name, this.owner, this.form, this.entry, this.tasks, this.runMillis, newDeclaredMillis,
				this.deadlineMillis, this.waitMillis, this.cores, this.path, this.nonIdempotent,
				this.resubmitAfterMillis, this.cancelAfterMillis, this.replays, this.replayGapMillis);
	}

	SubmitJob toSubmitJob(JobId id, long createdAtMillis) {
		List<TaskSpec> specs = new ArrayList<>();
		for (int index = 0; index < this.tasks; index++) {
			byte[] payload = new Payload(this.owner.value(), this.name, index, this.runMillis).bytes();
			specs.add(new TaskSpec(this.path, payload, new Resources(this.cores, MEMORY_MB, 0), this.declaredMillis));
		}
		return new SubmitJob(this.owner, id, createdAtMillis, this.deadlineMillis, this.nonIdempotent, specs,
				this.waitMillis);
	}

	/** Form of a job id. */
	enum IdForm {

		/** The id is reserved at an entry before the submission. */
		ISSUED,
		/** The caller creates a version 7 UUID from its wall clock. */
		TIME,
		/** The id is the name of the job. */
		FREE

	}

}
