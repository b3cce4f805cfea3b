package io.coriandermux.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a defect anywhere on the path of a job from the caller through the entry
 * and the guard to the endpoint and back, over real sockets. The test checks outcomes and
 * not times.
 */
class EndToEndTests {

	@Example
	void aJobIsAnsweredCompletelyAndEachTaskStartsOnce() throws Exception {
		try (TestCluster cluster = new TestCluster(1, 2)) {
			JsonNode first = cluster.submitUntilComplete(0, TestCluster.jobBody(3, 5));
			assertThat(first.path("outcome").asText()).as(first.toString()).isEqualTo("complete");
			JsonNode reply = cluster.submit(0, TestCluster.jobBody(20, 5));
			assertThat(reply.path("outcome").asText()).as(reply.toString()).isEqualTo("complete");
			assertThat(reply.path("tasks")).hasSize(20);
			for (int index = 0; index < 20; index++) {
				assertThat(reply.path("tasks").get(index).path("body").asText()).contains(reply.path("job").asText())
					.contains("\"task\":\"" + index + "\"");
			}
			assertThat(cluster.endpoint(0).startCounts().values()).allMatch((count) -> count == 1);
			assertThat(cluster.endpoint(1).startCounts().values()).allMatch((count) -> count == 1);
		}
	}

}
