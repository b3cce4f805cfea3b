package io.coriandermux.core.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.JobRunning;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.guard.DrainRequested;
import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.member.EntryInfo;
import io.coriandermux.core.member.GuardInfo;
import io.coriandermux.core.message.Start;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Applies a sequence of requests and faults to three entries and three guards, and checks
 * every start and every reply.
 */
final class FaultScenario {

	private final TestCluster cluster = new TestCluster(Samples.TABLES);

	private final Map<Long, SubmitJob> submitted = new LinkedHashMap<>();

	private final Map<Long, EntryInfo> submittedAt = new LinkedHashMap<>();

	private final List<SubmitJob> jobs = new ArrayList<>();

	private final Set<GuardInfo> drainedGuards = new LinkedHashSet<>();

	private long lastReference;

	private long lastIncarnation = 10;

	void run(List<Integer> steps) {
		this.cluster.onReply = this::checkReply;
		IntStream.range(1, 4).forEach((n) -> this.cluster.addEntry("e" + n, n));
		IntStream.range(1, 4).forEach((n) -> this.cluster.addGuard("g" + n, n, 2));
		this.cluster.advance(5_000);
		for (int step : steps) {
			step(step % 24, step / 24);
			checkStarts();
		}
		recoverAndFinish();
	}

	private void step(int action, int number) {
		EntryInfo entry = pick(List.copyOf(this.cluster.entries.keySet()), number);
		GuardInfo guard = pick(List.copyOf(this.cluster.guards.keySet()), number);
		switch (action) {
			case 0, 1, 2 -> submit(entry, newJob(entry, number));
			case 3, 4, 5 -> submit(entry, this.jobs.isEmpty() ? newJob(entry, number) : pick(this.jobs, number));
			case 6, 7 -> this.cluster.finishAll();
			case 8 -> this.cluster.runningTasks.values().stream().findFirst().ifPresent(Runnable::run);
			case 9, 10 -> this.cluster.advance(100);
			case 11 -> this.cluster.advance(1_000);
			case 12 -> this.cluster.advance(4_000);
			case 13 -> restart(entry);
			case 14 -> restart(guard);
			case 15 -> this.cluster.cutLink(entry.entry().value(), guard.guard().value());
			case 16 -> this.cluster.cutLink("e" + (number % 3 + 1), "e" + ((number + 1) % 3 + 1));
			case 17 -> this.cluster.healLinks();
			case 18 -> this.cluster.storeDown = !this.cluster.storeDown;
			case 19 -> this.cluster.loseWriteResponse = true;
			case 20 -> this.cluster.pausedEntries.putIfAbsent(entry, new ArrayList<>());
			case 21 -> this.cluster.resume(entry);
			case 22 -> redeliver(number);
			default -> requestOrShutDown(entry, guard, number);
		}
	}

	private void requestOrShutDown(EntryInfo entry, GuardInfo guard, int number) {
		if (number % 3 == 0 && !this.jobs.isEmpty()) {
			SubmitJob job = pick(this.jobs, number);
			this.cluster.request(entry, --this.lastReference, new CancelJob(Samples.OWNER, job.job()));
		}
		else if (number % 3 == 1) {
			this.cluster.postToEntry(entry, new ShutdownRequested());
		}
		else if (this.drainedGuards.add(guard)) {
			this.cluster.postToGuard(guard, new DrainRequested(10_000));
		}
	}

	private SubmitJob newJob(EntryInfo entry, int number) {
		String id = "job-" + this.jobs.size();
		if (number % 2 == 0) {
			CallerReply reply = this.cluster.request(entry, --this.lastReference, new ReserveJobId(Samples.OWNER));
			id = (reply instanceof JobIdReserved reserved) ? reserved.job().text() : id;
		}
		String[] payloads = IntStream.rangeClosed(0, number / 2 % 3).mapToObj((n) -> "p" + n).toArray(String[]::new);
		SubmitJob job = Samples.submit(id, this.cluster.millis(), payloads);
		this.jobs.add(job);
		return job;
	}

	private void submit(EntryInfo entry, SubmitJob job) {
		long reference = Math.abs(--this.lastReference);
		this.submitted.put(reference, job);
		this.submittedAt.put(reference, entry);
		this.cluster.request(entry, reference, job);
	}

	private void restart(EntryInfo entry) {
		this.cluster.crash(entry);
		this.submitted.keySet().removeIf((reference) -> this.submittedAt.get(reference).equals(entry));
		this.cluster.addEntry(entry.entry().value(), ++this.lastIncarnation);
	}

	private void restart(GuardInfo guard) {
		this.cluster.crash(guard);
		this.cluster.runningTasks.keySet().removeIf((task) -> this.cluster.wasStartedOn(task, guard));
		this.cluster.addGuard(guard.guard().value(), ++this.lastIncarnation, 2);
	}

	private void redeliver(int number) {
		if (!this.cluster.deliveries.isEmpty()) {
			int last = this.cluster.deliveries.size() - 1;
			this.cluster.deliveries.get(Math.max(0, last - number % 40)).run();
		}
	}

	private void recoverAndFinish() {
		this.cluster.storeDown = false;
		List.copyOf(this.cluster.pausedEntries.keySet()).forEach(this.cluster::resume);
		this.cluster.healLinks();
		for (int round = 0; round < 40; round++) {
			this.cluster.finishAll();
			this.cluster.advance(1_000);
			checkStarts();
		}
		assertThat(this.cluster.replies.keySet()).containsAll(this.submitted.keySet());
	}

	private void checkStarts() {
		List<TaskKey> started = this.cluster.starts.stream().map(Start::task).toList();
		assertThat(started).doesNotHaveDuplicates();
	}

	private void checkReply(long reference) {
		CallerReply reply = this.cluster.replies.get(reference);
		SubmitJob job = this.submitted.get(reference);
		if (job == null || reply instanceof JobRunning) {
			return;
		}
		String id = job.job().text();
		Set<Integer> started = this.cluster.starts.stream()
			.filter((start) -> start.task().job().job().equals(id))
			.map((start) -> start.task().index())
			.collect(Collectors.toSet());
		if (reply instanceof Refusal refusal) {
			assertThat(refusal.outcome() == Outcome.NOT_RUN && !started.isEmpty()).as("%s for %s", refusal, id)
				.isFalse();
			return;
		}
		JobOutcome outcome = (JobOutcome) reply;
		assertThat(outcome.job()).isEqualTo(id);
		for (int index = 0; index < outcome.tasks().size(); index++) {
			boolean notRun = outcome.tasks().get(index).outcome() == Outcome.NOT_RUN;
			assertThat(notRun && started.contains(index)).as("%s task %s of %s", outcome, index, id).isFalse();
		}
		if (outcome.outcome() == Outcome.COMPLETE) {
			assertThat(Samples.bodies(outcome)).containsExactlyElementsOf(IntStream.range(0, job.tasks().size())
				.mapToObj((index) -> "answer guild/" + id + "#" + index)
				.toList());
		}
		else {
			assertThat(Samples.bodies(outcome)).allMatch(String::isEmpty);
		}
	}

	private static <T> T pick(List<T> list, int number) {
		return list.get(number % list.size());
	}

}
