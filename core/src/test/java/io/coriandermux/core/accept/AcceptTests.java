package io.coriandermux.core.accept;

import java.util.List;
import java.util.stream.IntStream;

import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.queue.QueuedTask;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that an id is refused once its record may have been dropped, that a failed job
 * contains no answers, and that records are kept for the whole retention.
 */
class AcceptTests {

	private static final OwnerId OWNER = new OwnerId("guild");

	private final JobTable jobs = new JobTable(1_000, 2, 100);

	private static JobRecord job(String id, int tasks) {
		JobKey key = new JobKey(OWNER, id);
		TaskSpec spec = new TaskSpec("/run", new byte[9], Resources.NONE, 0);
		List<TaskRecord> records = IntStream.range(0, tasks)
			.mapToObj((index) -> new TaskRecord(new QueuedTask(new TaskKey(key, index), new Partition(1),
					new RouteName("r"), new PoolName("p"), spec, 500)))
			.toList();
		return new JobRecord(key, new PartitionEpoch(new Partition(1), new Epoch(1)), 0, 500, records);
	}

	private JobRecord addFinished(String id, int bytes, long atNanos) {
		JobRecord job = job(id, 1);
		this.jobs.add(job);
		job.tasks().get(0).markEnded(Outcome.COMPLETE, "", new byte[bytes]);
		job.tryFinish();
		this.jobs.markFinished(job, new Moment(atNanos, 0));
		return job;
	}

	private static ReplyCode check(String id, long createdAtMillis) {
		SubmitJob submit = new SubmitJob(OWNER, new JobId(id), createdAtMillis, 1, false, List.of(), 0);
		return new JobIdAgeCheck(120_000).check(submit, new Moment(0, 1_000_000))
			.map(Refusal::code)
			.orElse(ReplyCode.OK);
	}

	@Example
	void idsAreAcceptedWithinTheRetentionAndTheClockSkew() {
		assertThat(check("a", 879_999)).isEqualTo(ReplyCode.ID_EXPIRED);
		assertThat(check("a", 880_000)).isEqualTo(ReplyCode.OK);
		assertThat(check("a", 1_002_000)).isEqualTo(ReplyCode.OK);
		assertThat(check("a", 1_002_001)).isEqualTo(ReplyCode.CLOCK_SKEW);
		assertThat(check("000000000001-7000-8000-000000000000", 1_000_000)).isEqualTo(ReplyCode.OK);
		assertThat(check("00000000-0001-7000-8000-000000000000", 1_000_000)).isEqualTo(ReplyCode.ID_EXPIRED);
	}

	@Example
	void jobWithAFailedTaskContainsNoAnswers() {
		JobRecord job = job("a", 2);
		job.tasks().get(0).markEnded(Outcome.COMPLETE, "", new byte[] { 1 });
		job.fail(new FailureCause(Outcome.FAILED, ReplyCode.TIME_LIMIT, "time limit"));
		assertThat(job.tryFinish()).isFalse();
		job.tasks().get(1).markEnded(Outcome.FAILED, "time limit");
		assertThat(job.tryFinish()).isTrue();
		assertThat(job.outcome().outcome()).isEqualTo(Outcome.FAILED);
		assertThat(job.outcome().tasks()).allMatch((task) -> task.body().length == 0);
	}

	@Example
	void unconfirmedHomeReportsTasksThatItDidNotStartAsUndecided() {
		JobRecord job = job("a", 1);
		job.fail(new FailureCause(Outcome.FAILED, ReplyCode.DEADLINE, "deadline"));
		job.tasks().get(0).markEnded(Outcome.NOT_RUN, "deadline");
		job.tryFinish();
		assertThat(job.outcome().outcome()).isEqualTo(Outcome.NOT_RUN);
		assertThat(job.unconfirmedOutcome("unconfirmed").outcome()).isEqualTo(Outcome.UNDECIDED);
		assertThat(job.unconfirmedOutcome("unconfirmed").tasks().get(0).outcome()).isEqualTo(Outcome.UNDECIDED);
	}

	@Example
	void fullTableHasNoCapacityUntilARetentionHasExpired() {
		addFinished("a", 1, 10);
		addFinished("b", 1, 20);
		assertThat(this.jobs.hasCapacity()).isFalse();
		this.jobs.expire(new Moment(1_009, 0));
		assertThat(this.jobs.hasCapacity()).isFalse();
		this.jobs.expire(new Moment(1_010, 0));
		assertThat(this.jobs.hasCapacity()).isTrue();
	}

	@Example
	void byteLimitDropsTheOldestAnswersAndReportsIt() {
		JobRecord oldest = addFinished("a", 60, 10);
		JobRecord newest = addFinished("b", 60, 20);
		assertThat(oldest.outcome().code()).isEqualTo(ReplyCode.ANSWER_DROPPED);
		assertThat(newest.outcome().code()).isEqualTo(ReplyCode.OK);
	}

}
