package io.coriandermux.core.dispatch;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;

/**
 * Notices of the dispatcher about batches and their runs.
 */
final class DispatchNotices {

	/** Bounds the length of a notice about many runs. */
	private static final int MAX_LISTED_RUNS = 16;

	private final Consumer<Notice> notices;

	DispatchNotices(Consumer<Notice> notices) {
		this.notices = notices;
	}

	void send(NoticeKind kind, String subject, String detail) {
		this.notices.accept(new Notice(kind, subject, detail));
	}

	void onRunsListed(GuardId guard, Incarnation incarnation, List<BatchTask> running) {
		if (running.isEmpty()) {
			return;
		}
		List<BatchTask> answered = running.stream().filter((task) -> task.batch.isAnswered()).toList();
		String listed = running.size() + " runs listed to incarnation " + incarnation.value() + ", " + answered.size()
				+ " of answered batches";
		send(NoticeKind.RUNS_LISTED, guard.value(), listed);
		if (!answered.isEmpty()) {
			send(NoticeKind.ANSWERED_RUNS_LISTED, guard.value(), listed + ": " + describeRuns(answered));
		}
	}

	/**
	 * Describes the runs of a batch that have not ended.
	 * @param batch the batch
	 * @return their number and their names
	 */
	static String describePlacedRuns(Batch batch) {
		List<BatchTask> placed = batch.tasks()
			.stream()
			.filter((task) -> task.state() == BatchTask.State.PLACED)
			.toList();
		return placed.size() + " runs not ended: " + describeRuns(placed);
	}

	private static String describeRuns(List<BatchTask> tasks) {
		String listed = tasks.stream()
			.limit(MAX_LISTED_RUNS)
			.map((task) -> task.run() + " at " + task.guard())
			.collect(Collectors.joining(", "));
		return (tasks.size() > MAX_LISTED_RUNS) ? listed + ", and " + (tasks.size() - MAX_LISTED_RUNS) + " more"
				: listed;
	}

}
