package io.coriandermux.wire;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.core.api.TaskSpec;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.Epoch;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.CancelTask;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.core.message.ConfigPull;
import io.coriandermux.core.message.ConfigPush;
import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.Demand;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.Fence;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.Forward;
import io.coriandermux.core.message.ForwardAnswer;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.HeldBatch;
import io.coriandermux.core.message.HeldBatches;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.HomesPull;
import io.coriandermux.core.message.HomesPush;
import io.coriandermux.core.message.Leaving;
import io.coriandermux.core.message.LedgerEntry;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Recall;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Release;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.SessionPing;
import io.coriandermux.core.message.SessionPong;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.message.TablesOffer;
import io.coriandermux.core.message.TablesPull;
import io.coriandermux.core.message.TablesPush;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.ResourceAmounts;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * Sample messages: at least one of each type, with fields that differ from their
 * defaults.
 */
final class SampleMessages {

	static final TaskKey TASK = new TaskKey(new JobKey(new OwnerId("guild"), "job-1"), 7);

	private static final byte[] BODY = { 1, 2, 3 };

	private static final RunId RUN = new RunId(new BatchId("5c0e7a21d94b36f8"), 1, 2, 3);

	private static final BatchClaim HELD = new BatchClaim(new EntryIncarnation(new EntryId("e"), new Incarnation(2)),
			27);

	private static final OwnerId OWNER = new OwnerId("guild");

	private static final JobId JOB = new JobId("job-1");

	private static final TaskSpec SPEC = new TaskSpec("/render", BODY, new Resources(1, 2, 3), 4);

	static final List<Message> ALL = List.of(
			new Heartbeat(-1, Long.MAX_VALUE, new Incarnation(5), new Revision(3), new Revision(4)),
			new Start(TASK, new AttemptId(9), new Partition(1023), new Epoch(5), -6, "/p", BODY, 100, true, 3),
			new Answer(TASK, new AttemptId(9), LedgerState.FAILED, BODY, true, 77, 3, true),
			new Refused(TASK, new AttemptId(9), StartRefusal.NOT_READY, new Epoch(8)),
			new CancelTask(TASK, ReplyCode.DEADLINE, true),
			new Fence(List.of(new PartitionEpoch(new Partition(2), new Epoch(3)))),
			new FenceAnswer(List.of(new PartitionEpoch(new Partition(2), new Epoch(3))),
					List.of(new LedgerEntry(TASK, new Partition(2), new AttemptId(1), 55, LedgerState.CANCELLED, BODY,
							true, 44)),
					true, 123),
			new Credit(1), new Recall(2), new Release(3), new Demand(4), new Leaving(5),
			new Forward(1, new SubmitJob(OWNER, JOB, 10, 20, true, List.of(SPEC), 30)),
			new Forward(2, new FetchJob(OWNER, JOB, 5)), new Forward(3, new CancelJob(OWNER, JOB)),
			new Forward(4, new ReserveJobId(OWNER)),
			new ForwardAnswer(1,
					new JobOutcome("job-1", Outcome.COMPLETE, ReplyCode.OK, "",
							List.of(new TaskResult(Outcome.COMPLETE, "", BODY)))),
			new ForwardAnswer(2, new JobRunning("job-1", 1, 2, 3)), new ForwardAnswer(3, new JobIdReserved(JOB)),
			new ForwardAnswer(4, new Refusal(Outcome.NOT_RUN, ReplyCode.QUOTA, "over quota", 50)),
			new ConfigPull(new Revision(1)),
			new ConfigPush(new Revision(2), List.of(new ConfigDocument("/config/routes/guild", new Revision(2), "{}"))),
			new HomesPull(new Revision(1)),
			new HomesPush(new HomeTable(new Revision(1), List.of(new HomeMember(new EntryId("e"), new Incarnation(2))),
					Collections.nCopies(Partition.COUNT, 0), Collections.nCopies(Partition.COUNT, 6L))),
			new StartRun(RUN, "spec", new ResourceAmounts(1, 2, 3), 4), new StopRun(RUN),
			new RunEnded(RUN, RunOutcome.LAPSED, 5), new HeldRuns(List.of(RUN)),
			new EndpointChanged(new EndpointLoad(new PoolName("orders"), Set.of("a"), new ResourceAmounts(6, 7, 8),
					new ResourceAmounts(-9, 10, 11), true), 12),
			new SessionPing(13), new SessionPong(14), new TablesPush(15, BODY), new TablesOffer(16), new TablesPull(17),
			new HeldBatches(true, List.of(new BatchId("5c0e7a21d94b36f8")),
					List.of(new HeldBatch(new BatchId("a"), 18), new HeldBatch(new BatchId("b"), 19))),
			new ReleaseBatch(new BatchId("5c0e7a21d94b36f8")),
			new ClaimBatch(new BatchId("5c0e7a21d94b36f8"), 26, 20, Optional.of(HELD)),
			new ClaimBatch(new BatchId("5c0e7a21d94b36f8"), 28, 21, Optional.empty()),
			new ClaimAnswer(new BatchId("5c0e7a21d94b36f8"), 29, true, Optional.of(new BatchHolder(HELD, 22))),
			new ClaimAnswer(new BatchId("5c0e7a21d94b36f8"), 30, false, Optional.empty()),
			new TakeOverBatch(new BatchId("5c0e7a21d94b36f8"), 23, 24),
			new TakeOverAnswer(new BatchId("5c0e7a21d94b36f8"), 25, true));

	private SampleMessages() {
	}

}
