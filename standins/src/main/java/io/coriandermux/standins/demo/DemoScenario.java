package io.coriandermux.standins.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Scenario of the demo: four waves of jobs. An entry is killed during the second wave and
 * a guard during the third; before the last wave a table is edited and a guard drained.
 */
final class DemoScenario implements AutoCloseable {

	/** Maximum number of requests that wait for a reply at the same time. */
	private static final int THREADS = 48;

	private static final int GUARDS = 4;

	private static final int LAST_WAVE = 4;

	/** A process is killed once this many jobs of the wave have an outcome. */
	private static final int OUTCOMES_BEFORE_KILL = 6;

	private static final int MAX_POLLS = 300;

	private static final long POLL_INTERVAL_MILLIS = 100;

	private final ProcessClient client;

	private final DemoCaller caller;

	private final DemoActions actions;

	private final PrintStream out;

	private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

	private final List<CompletableFuture<JobResult>> submitted = new ArrayList<>();

	private final List<CompletableFuture<JobResult>> resubmitted = new ArrayList<>();

	DemoScenario(ProcessClient client, DemoCaller caller, DemoActions actions, PrintStream out) {
		this.client = client;
		this.caller = caller;
		this.actions = actions;
		this.out = out;
	}

	/**
	 * Runs the demo.
	 * @param jobs the jobs
	 * @return the report
	 * @throws IOException if the processes do not become ready in time or an action fails
	 * @throws InterruptedException if the thread is interrupted
	 */
	DemoReport run(List<DemoJob> jobs) throws IOException, InterruptedException {
		awaitStatus("entry-1-ops", "usableGuards", GUARDS);
		awaitStatus("entry-2-ops", "usableGuards", GUARDS);
		// Partitions are reassigned when the second entry joins; jobs submitted during
		// that time can end with an unknown outcome.
		awaitStatus("entry-1-ops", "partitions", 1);
		awaitStatus("entry-2-ops", "partitions", 1);
		this.out.println("demo: two entries share the partitions and are linked to four guards");
		submit(jobs, 1);
		awaitOutcomes(this.submitted.size());
		submitAndKill(jobs, 2, "entry-2");
		submitAndKill(jobs, 3, "guard-4");
		long revision = revision();
		this.actions.perform("edit");
		awaitRevisionAbove(revision);
		this.out.println("demo: the edit is in force at entry-1");
		this.actions.perform("drain guard-3");
		awaitDrained();
		int tasksWhenDrained = this.client.startCounts("runner-3").size();
		submit(jobs, LAST_WAVE);
		List<JobResult> results = joinAll(this.submitted);
		List<JobResult> resubmissions = joinAll(this.resubmitted);
		int tasksAfterDrain = this.client.startCounts("runner-3").size() - tasksWhenDrained;
		this.out.println(
				"demo: the drained endpoint runner-3 got " + tasksAfterDrain + " tasks after its guard had drained");
		return new DemoReport(results, resubmissions, this.client.startCounts());
	}

	@Override
	public void close() {
		this.threads.shutdownNow();
	}

	private void submitAndKill(List<DemoJob> jobs, int wave, String process) throws IOException, InterruptedException {
		int before = this.submitted.size();
		submit(jobs, wave);
		awaitOutcomes(before + OUTCOMES_BEFORE_KILL);
		this.actions.perform("kill " + process);
		awaitOutcomes(this.submitted.size());
	}

	private void submit(List<DemoJob> jobs, int wave) {
		int index = 0;
		for (DemoJob job : jobs) {
			if (job.wave() != wave) {
				continue;
			}
			int entry = index++;
			CompletableFuture<ObjectNode> request = supplyAsync(() -> this.caller.requestWithId(job, entry));
			this.submitted.add(request.thenCompose((body) -> supplyAsync(() -> this.caller.submit(job, body, entry))));
			if (job.resubmit()) {
				this.resubmitted
					.add(request.thenCompose((body) -> supplyAsync(() -> this.caller.submit(job, body, entry + 1))));
			}
		}
		this.out.println("demo: wave " + wave + " is submitted, " + index + " jobs");
	}

	private <T> CompletableFuture<T> supplyAsync(InterruptibleSupplier<T> work) {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return work.get();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new CompletionException(ex);
			}
		}, this.threads);
	}

	private static List<JobResult> joinAll(List<CompletableFuture<JobResult>> futures) {
		return futures.stream().map(CompletableFuture::join).toList();
	}

	private void awaitOutcomes(int count) throws InterruptedException {
		while (this.submitted.stream().filter(CompletableFuture::isDone).count() < Math.min(count,
				this.submitted.size())) {
			DemoCaller.pause(POLL_INTERVAL_MILLIS / 10);
		}
	}

	private void awaitStatus(String process, String field, int value) throws IOException, InterruptedException {
		for (int i = 0; i < MAX_POLLS; i++) {
			Optional<JsonNode> status = this.client.read(process, "/status");
			if (status.isPresent() && status.get().path(field).asInt() >= value) {
				return;
			}
			DemoCaller.pause(POLL_INTERVAL_MILLIS);
		}
		throw new IOException(process + " did not report " + field + " >= " + value + " in time, last status: "
				+ this.client.read(process, "/status").map(JsonNode::toString).orElse("no response"));
	}

	private long revision() {
		return this.client.read("entry-1-ops", "/status")
			.map((status) -> status.path("tables").path("value").asLong())
			.orElse(0L);
	}

	private void awaitRevisionAbove(long revision) throws IOException, InterruptedException {
		for (int i = 0; i < MAX_POLLS; i++) {
			if (revision() > revision) {
				return;
			}
			DemoCaller.pause(POLL_INTERVAL_MILLIS);
		}
		throw new IOException("entry-1 did not apply the edit in time");
	}

	private void awaitDrained() throws IOException, InterruptedException {
		for (int i = 0; i < MAX_POLLS; i++) {
			Optional<JsonNode> status = this.client.read("guard-3-ops", "/status");
			if (status.isEmpty()
					|| status.get().path("draining").asBoolean() && status.get().path("running").asInt() == 0) {
				return;
			}
			DemoCaller.pause(POLL_INTERVAL_MILLIS);
		}
		throw new IOException("guard-3 did not drain in time");
	}

	/**
	 * Supplier that can be interrupted.
	 *
	 * @param <T> the type of the result
	 */
	@FunctionalInterface
	private interface InterruptibleSupplier<T> {

		T get() throws InterruptedException;

	}

}
