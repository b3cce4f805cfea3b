package io.coriandermux.daemon;

import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.coriandermux.version.ProgramVersion;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterProperty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against malformed or excessive traffic at one port that prevents a process from
 * answering jobs, and against wrong replies at the operators' port.
 */
class PortAbuseTests {

	private static final int TIMEOUT_MILLIS = 90_000;

	private final TestCluster cluster = new TestCluster(1, 1);

	PortAbuseTests() throws Exception {
	}

	@AfterProperty
	void close() {
		this.cluster.close();
	}

	@Example
	void anEntryAnswersAThousandConcurrentConnections() throws Exception {
		assertCompletesJob();
		List<Socket> sockets = new ArrayList<>();
		String body = TestCluster.jobBody(1, 0);
		byte[] request = ("POST /v1/jobs?waitMs=60000 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer guild-key\r\n"
				+ "Content-Length: " + body.length() + "\r\n\r\n" + body)
			.getBytes(StandardCharsets.US_ASCII);
		for (int count = 0; count < 1000; count++) {
			Socket socket = new Socket(TestCluster.HOST, this.cluster.entry(0).callersPort());
			socket.setSoTimeout(TIMEOUT_MILLIS);
			sockets.add(socket);
		}
		for (Socket socket : sockets) {
			socket.getOutputStream().write(request);
		}
		for (Socket socket : sockets) {
			byte[] response = new byte[4096];
			int length = socket.getInputStream().read(response);
			assertThat(new String(response, 0, length, StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 200 OK");
			socket.close();
		}
	}

	@Property(seed = "4731", tries = 20)
	void randomBytesAtLinkAndOperatorPortsDoNotPreventJobs(@ForAll @Size(max = 2000) byte[] bytes) throws Exception {
		assertCompletesJob();
		for (int port : List.of(this.cluster.entry(0).peerPort(), this.cluster.guard(0).peerPort(),
				this.cluster.entry(0).operatorsPort(), this.cluster.guard(0).operatorsPort())) {
			try (Socket socket = new Socket(TestCluster.HOST, port)) {
				socket.setSoTimeout(TIMEOUT_MILLIS);
				socket.getOutputStream().write(bytes);
				socket.shutdownOutput();
				InputStream input = socket.getInputStream();
				assertThat(new String(input.readAllBytes(), StandardCharsets.ISO_8859_1)).doesNotContain(" 200 OK");
			}
			catch (SocketException ex) {
				assertThat(ex).hasMessageContaining("reset");
			}
		}
		assertCompletesJob();
	}

	@Example
	void operatorsReadStateEventsMetricsAndExplanations() throws Exception {
		assertCompletesJob();
		String id = this.cluster.reserveJobId(0);
		this.cluster.submit(0, TestCluster.jobBody(2, 1).replace("{\"dead", "{\"id\":\"" + id + "\",\"dead"));
		int port = this.cluster.entry(0).operatorsPort();
		assertThat(get(port, "/status")).contains("\"partitions\":1024");
		assertThat(get(port, "/events")).contains("STARTED");
		assertThat(get(port, "/metrics")).contains("callers.requests");
		String version = ProgramVersion.current().toString();
		assertThat(get(port, "/status")).contains("\"program\":\"" + version + "\"");
		assertThat(get(port, "/events")).contains(version);
		assertThat(get(port, "/metrics")).contains("\"version\":{\"value\":\"" + version + "\"}");
		assertThat(get(port, "/explain/guild/" + id)).contains("\"outcome\":\"COMPLETE\"").contains("\"guard\":\"g0\"");
		assertThat(get(port, "/explain/other/" + id)).contains("not known");
		this.cluster.submit(0, TestCluster.jobBody(1, 1).replace("{\"sleepMs\":1}", "{\"fail\":true}"));
		assertThat(get(port, "/failures/guild")).contains("ENDPOINT_FAILED");
		assertThat(get(port, "/failures/other")).isEqualTo("[]");
		assertThat(get(this.cluster.guard(0).operatorsPort(), "/status")).contains("\"ready\":true");
	}

	private String get(int port, String target) throws Exception {
		return this.cluster.call(port, "GET", target, "").body();
	}

	private void assertCompletesJob() throws Exception {
		assertThat(this.cluster.submitUntilComplete(0, TestCluster.jobBody(1, 1)).path("outcome").asText())
			.isEqualTo("complete");
	}

}
