package io.coriandermux.proof.check;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.ReplyReceived;
import io.coriandermux.proof.journal.TaskStarted;
import io.coriandermux.proof.simulation.Payload;

/**
 * Tasks and answers of different owners stay separate: an endpoint receives each task
 * under the name of its owner and only from owners of its pool, and no answer is sent to
 * another owner.
 */
public final class OwnersApart implements Check {

	/** The guard whose endpoint serves only {@link #RESERVED_OWNER}. */
	private static final String RESERVED_GUARD = "g4";

	private static final String RESERVED_OWNER = "guild";

	@Override
	public List<Violation> violations(Journal journal) {
		Calls calls = new Calls(journal);
		List<Violation> found = new ArrayList<>();
		journal.ofType(TaskStarted.class).forEach((started) -> {
			String owner = Payload.parse(started.payload()).owner();
			boolean reservedForOtherOwner = started.guard().value().equals(RESERVED_GUARD)
					&& !owner.equals(RESERVED_OWNER);
			if (!owner.equals(started.task().job().owner().value()) || reservedForOtherOwner) {
				found.add(new Violation(name(), started.atNanos(),
						"work of " + owner + " started as " + started.task() + " at " + started.guard()));
			}
		});
		journal.ofType(ReplyReceived.class).forEach((received) -> {
			String owner = calls.request(received.requestNumber()).request().owner().value();
			if (received.reply() instanceof JobOutcome outcome && hasAnswerOfOtherOwner(outcome, owner)) {
				found.add(new Violation(name(), received.atNanos(), "answer of another owner sent to " + owner));
			}
		});
		return found;
	}

	private static boolean hasAnswerOfOtherOwner(JobOutcome outcome, String owner) {
		for (TaskResult task : outcome.tasks()) {
			String body = new String(task.body(), StandardCharsets.UTF_8);
			if (!body.isEmpty() && !body.startsWith("answer to " + owner + "/")) {
				return true;
			}
		}
		return false;
	}

}
