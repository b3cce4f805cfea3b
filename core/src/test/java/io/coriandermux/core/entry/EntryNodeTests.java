package io.coriandermux.core.entry;

import java.util.List;

import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.id.AttemptId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Answer;
import io.coriandermux.core.message.LedgerState;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Refused;
import io.coriandermux.core.message.Start;
import io.coriandermux.core.message.StartRefusal;
import io.coriandermux.core.notice.NoticeKind;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against jobs that are lost, run twice or answered wrongly while no entry and no
 * guard fails.
 */
class EntryNodeTests {

	private final TestCluster cluster = new TestCluster(Samples.TABLES);

	private final EntryInfo entry = this.cluster.addEntry("e1", 1);

	private final GuardInfo guard = this.cluster.addGuard("g1", 1, 2);

	EntryNodeTests() {
		this.cluster.advance(100);
	}

	@Example
	void jobIsAnsweredWithTheAnswersOfItsTasksInOrder() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x", "y", "z"));
		assertThat(this.cluster.starts).hasSize(2);
		this.cluster.finishAll();
		this.cluster.finishAll();
		JobOutcome outcome = (JobOutcome) this.cluster.replies.get(1L);
		assertThat(outcome.outcome()).isEqualTo(Outcome.COMPLETE);
		assertThat(Samples.bodies(outcome))
			.isEqualTo(List.of("answer guild/a#0", "answer guild/a#1", "answer guild/a#2"));
	}

	@Example
	void resubmissionJoinsARunningJobAndReplaysAFinishedJob() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x"));
		this.cluster.request(this.entry, 2, Samples.submit("a", this.cluster.millis(), "x"));
		this.cluster.finishAll();
		this.cluster.request(this.entry, 3, Samples.submit("a", this.cluster.millis(), "x"));
		assertThat(this.cluster.starts).hasSize(1);
		assertThat(this.cluster.replies.values()).hasSize(3)
			.allSatisfy((reply) -> assertThat(((JobOutcome) reply).outcome()).isEqualTo(Outcome.COMPLETE));
	}

	@Example
	void resubmissionWithOtherTasksIsRefused() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x"));
		Refusal refusal = (Refusal) this.cluster.request(this.entry, 2,
				Samples.submit("a", this.cluster.millis(), "y"));
		assertThat(refusal.code()).isEqualTo(ReplyCode.ID_CONFLICT);
	}

	@Example
	void cancellationDropsWaitingTasksAndAbortsRunningOnes() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x", "y", "z"));
		this.cluster.request(this.entry, 2, new CancelJob(Samples.OWNER, new JobId("a")));
		JobOutcome outcome = (JobOutcome) this.cluster.replies.get(1L);
		assertThat(outcome.code()).isEqualTo(ReplyCode.CANCELLED);
		assertThat(outcome.tasks()).extracting((task) -> task.outcome())
			.containsExactly(Outcome.FAILED, Outcome.FAILED, Outcome.NOT_RUN);
		assertThat(this.cluster.starts).hasSize(2);
	}

	@Example
	void cancellationOfAWaitingJobIsReportedAsNotRun() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x", "y"));
		this.cluster.request(this.entry, 2, Samples.submit("b", this.cluster.millis(), "x"));
		JobOutcome outcome = (JobOutcome) this.cluster.request(this.entry, 3,
				new CancelJob(Samples.OWNER, new JobId("b")));
		assertThat(outcome.outcome()).isEqualTo(Outcome.NOT_RUN);
		this.cluster.finishAll();
		assertThat(this.cluster.starts).hasSize(2);
	}

	@Example
	void expiredWaitIsAnsweredWithTheProgressOfTheJob() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x", "y", "z"));
		this.cluster.request(this.entry, 2, new FetchJob(Samples.OWNER, new JobId("a"), 300));
		this.cluster.advance(200);
		assertThat(this.cluster.replies).isEmpty();
		this.cluster.advance(100);
		assertThat(this.cluster.replies.get(2L)).isEqualTo(new JobRunning("a", 1, 2, 0));
	}

	@Example
	void failedTaskFailsTheJobAndWithholdsTheOtherAnswers() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x", "y"));
		this.cluster.runningTasks.values().iterator().next().run();
		this.cluster.guards.keySet().forEach((guard) -> this.cluster.endTask(guard, this.cluster.starts.get(1), false));
		JobOutcome outcome = (JobOutcome) this.cluster.replies.get(1L);
		assertThat(outcome.code()).isEqualTo(ReplyCode.ENDPOINT_FAILED);
		assertThat(Samples.bodies(outcome)).containsExactly("", "");
		assertThat(this.cluster.entries.get(this.entry).failures(Samples.OWNER)).hasSize(1);
	}

	@Example
	void jobWithAReservedIdCompletes() {
		JobIdReserved reserved = (JobIdReserved) this.cluster.request(this.entry, 1, new ReserveJobId(Samples.OWNER));
		this.cluster.request(this.entry, 2, Samples.submit(reserved.job().text(), 0, "x"));
		this.cluster.finishAll();
		assertThat(((JobOutcome) this.cluster.replies.get(2L)).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void messagesOfOtherAttemptsGuardsAndIncarnationsAreDropped() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x"));
		Start start = this.cluster.starts.get(0);
		AttemptId former = new AttemptId(start.attempt().value() - 1);
		GuardInfo other = this.cluster.addGuard("g2", 2, 2);
		this.cluster.notices.clear();
		postFrom(this.guard, new Refused(start.task(), former, StartRefusal.NO_SLOT, start.epoch()));
		postFrom(this.guard, answer(start, former));
		postFrom(other, answer(start, start.attempt()));
		this.cluster.postToEntry(this.entry,
				new GuardMessage(this.guard.guard(), new Incarnation(9), answer(start, start.attempt())));
		assertThat(this.cluster.notices).filteredOn((kind) -> kind == NoticeKind.MESSAGE_DROPPED).hasSize(4);
		assertThat(this.cluster.replies).isEmpty();
		assertThat(this.cluster.starts).hasSize(1);
		this.cluster.finishAll();
		assertThat(((JobOutcome) this.cluster.replies.get(1L)).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	private void postFrom(GuardInfo sender, Message message) {
		this.cluster.postToEntry(this.entry, new GuardMessage(sender.guard(), sender.incarnation(), message));
	}

	private static Answer answer(Start start, AttemptId attempt) {
		return new Answer(start.task(), attempt, LedgerState.FINISHED, new byte[0], true, 1, 1, false);
	}

	@Example
	void startLostWithAReplacedLinkIsResentOnce() {
		this.cluster.droppedMessages = Start.class::isInstance;
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x"));
		this.cluster.droppedMessages = (message) -> false;
		this.cluster.link(this.entry, this.guard);
		this.cluster.link(this.entry, this.guard);
		assertThat(this.cluster.starts).hasSize(1);
		this.cluster.finishAll();
		assertThat(((JobOutcome) this.cluster.replies.get(1L)).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void answerLostWithAReplacedLinkIsReadFromTheLedger() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x"));
		this.cluster.droppedMessages = Answer.class::isInstance;
		this.cluster.finishAll();
		this.cluster.droppedMessages = (message) -> false;
		assertThat(this.cluster.replies).isEmpty();
		this.cluster.link(this.entry, this.guard);
		assertThat(((JobOutcome) this.cluster.replies.get(1L)).outcome()).isEqualTo(Outcome.COMPLETE);
	}

	@Example
	void jobEndsAtItsDeadline() {
		this.cluster.request(this.entry, 1, Samples.submit("a", this.cluster.millis(), "x", "y", "z"));
		this.cluster.advance(30_100);
		JobOutcome outcome = (JobOutcome) this.cluster.replies.get(1L);
		assertThat(outcome.code()).isEqualTo(ReplyCode.DEADLINE);
		assertThat(outcome.tasks().get(2).outcome()).isEqualTo(Outcome.NOT_RUN);
	}

}
