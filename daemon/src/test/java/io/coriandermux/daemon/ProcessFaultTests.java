package io.coriandermux.daemon;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.standins.StoreFaults;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that is interrupted by a graceful shutdown, a task that starts
 * twice, and an answer that is lost when a process ends. The tests check outcomes and not
 * times.
 */
class ProcessFaultTests {

	@Example
	void aJobIsReplayedAtAnotherEntryAfterItsHomeHasShutDown() throws Exception {
		try (TestCluster cluster = new TestCluster(2, 2)) {
			assertComplete(cluster.submitUntilComplete(0, TestCluster.jobBody(1, 1)));
			assertComplete(cluster.submitUntilComplete(1, TestCluster.jobBody(1, 1)));
			String id = cluster.reserveJobId(1);
			String job = TestCluster.jobBody(5, 20).replace("{\"deadlineMs\"", "{\"id\":\"" + id + "\",\"deadlineMs\"");
			JsonNode first = cluster.submit(1, job);
			assertComplete(first);
			cluster.entry(1).close();
			JsonNode replayed = cluster.submitUntilComplete(0, job);
			assertThat(replayed.path("tasks")).isEqualTo(first.path("tasks"));
			assertStartedOnce(cluster, id, 5);
		}
	}

	@Example
	void aDrainingEntryAnswersItsJobInProgress() throws Exception {
		try (TestCluster cluster = new TestCluster(1, 1)) {
			assertComplete(cluster.submitUntilComplete(0, TestCluster.jobBody(1, 1)));
			String id = cluster.reserveJobId(0);
			CompletableFuture<JsonNode> reply = submitAsync(cluster, id, TestCluster.jobBody(3, 700));
			cluster.awaitRunning(0, id);
			assertThat(cluster.entry(0).drain()).isTrue();
			assertComplete(reply.get());
			assertStartedOnce(cluster, id, 3);
		}
	}

	@Example
	void aDrainingGuardFinishesItsTasksAndReceivesNoMore() throws Exception {
		try (TestCluster cluster = new TestCluster(1, 2)) {
			assertComplete(cluster.submitUntilComplete(0, TestCluster.jobBody(8, 1)));
			String id = cluster.reserveJobId(0);
			CompletableFuture<JsonNode> reply = submitAsync(cluster, id, TestCluster.jobBody(8, 700));
			cluster.awaitRunning(0, id);
			assertThat(cluster.guard(0).drain()).isTrue();
			int starts = cluster.endpoint(0).startCounts().size();
			assertComplete(reply.get());
			assertStartedOnce(cluster, id, 8);
			assertComplete(cluster.submit(0, TestCluster.jobBody(20, 1)));
			assertThat(cluster.endpoint(0).startCounts()).hasSize(starts);
		}
	}

	@Example
	void anEntryServesWhileTheStoreIsDown() throws Exception {
		try (TestCluster cluster = new TestCluster(1, 1)) {
			assertComplete(cluster.submitUntilComplete(0, TestCluster.jobBody(1, 1)));
			cluster.store().setFaults(new StoreFaults(true, false, false, 0, 0));
			assertComplete(cluster.submit(0, TestCluster.jobBody(5, 1)));
		}
	}

	private static CompletableFuture<JsonNode> submitAsync(TestCluster cluster, String id, String job) {
		String withId = job.replace("{\"deadlineMs\"", "{\"id\":\"" + id + "\",\"deadlineMs\"");
		CompletableFuture<JsonNode> reply = CompletableFuture.supplyAsync(() -> {
			try {
				return cluster.submit(0, withId);
			}
			catch (Exception ex) {
				throw new CompletionException(ex);
			}
		});
		return reply;
	}

	private static void assertComplete(JsonNode reply) {
		assertThat(reply.path("outcome").asText()).as(reply.toString()).isEqualTo("complete");
	}

	private static void assertStartedOnce(TestCluster cluster, String job, int tasks) {
		Map<String, Integer> starts = cluster.startCounts(job);
		assertThat(starts).hasSize(tasks);
		assertThat(starts.values()).allMatch((count) -> count == 1);
	}

}
