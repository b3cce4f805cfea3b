package io.coriandermux.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.JobOutcome;
import io.coriandermux.core.api.Outcome;
import io.coriandermux.core.api.Refusal;
import io.coriandermux.core.api.ReplyCode;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.api.TaskResult;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.run.ProcessMetrics;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.AfterProperty;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against callers that block the port or receive no typed error, and against
 * requests that are passed on under the wrong owner.
 */
class CallersHandlerTests {

	private static final String HOST = "127.0.0.1";

	private static final int TIMEOUT_MILLIS = 60_000;

	private static final String HEADERS = "Host: x\r\nAuthorization: Bearer key\r\n";

	private final BlockingQueue<CallerRequest> requests = new LinkedBlockingQueue<>();

	private CallerReply reply = new Refusal(Outcome.NOT_RUN, ReplyCode.QUOTA, "over quota", 1500);

	private final HttpPort port = HttpPort.open(HOST, 0, new HttpPortOptions(1, 2000, 100_000),
			new CallersHandler(new RecordingGateway(), new OwnerKeys(Map.of(sha256("key"), new OwnerId("guild"))), 300,
					() -> new Moment(1, 2), new EventLog("test", () -> new Moment(1, 2)), new ProcessMetrics()));

	@AfterProperty
	void close() {
		this.port.close();
	}

	@Example
	void passesARequestOnWithTheOwnerOfItsKey() throws Exception {
		String response = send("GET /v1/jobs/job-1?waitMs=7 HTTP/1.1\r\n" + HEADERS + "\r\n");
		assertThat(response).startsWith("HTTP/1.1 429").contains("Retry-After: 2");
		assertThat(response)
			.contains("{\"outcome\":\"not_run\",\"code\":\"quota\",\"reason\":\"over quota\",\"retryAfterMs\":1500}");
		assertThat(this.requests.take()).isEqualTo(new FetchJob(new OwnerId("guild"), new JobId("job-1"), 7));
	}

	@Example
	void reservesAMissingIdAndReturnsAnswersOnlyOfACompleteJob() throws Exception {
		this.reply = new JobOutcome("issued", Outcome.COMPLETE, ReplyCode.OK, "",
				List.of(new TaskResult(Outcome.COMPLETE, "", "yes".getBytes(StandardCharsets.UTF_8)),
						new TaskResult(Outcome.COMPLETE, "", new byte[] { -1 })));
		assertThat(post("{\"deadlineMs\":1,\"tasks\":[{\"path\":\"/\",\"payload\":1}]}")).startsWith("HTTP/1.1 200")
			.contains("\"body\":\"yes\"", "\"bodyBase64\":\"/w==\"");
		assertThat(this.requests.take()).isEqualTo(new ReserveJobId(new OwnerId("guild")));
		assertThat(this.requests.take()).isInstanceOfSatisfying(SubmitJob.class,
				(submit) -> assertThat(submit.job().text()).isEqualTo("issued"));
		this.reply = new JobOutcome("issued", Outcome.FAILED, ReplyCode.ENDPOINT_FAILED, "task 1 failed",
				List.of(new TaskResult(Outcome.COMPLETE, "", "yes".getBytes(StandardCharsets.UTF_8))));
		assertThat(post("{\"deadlineMs\":1,\"tasks\":[{\"path\":\"/\",\"payload\":1}]}")).startsWith("HTTP/1.1 502")
			.doesNotContain("yes");
	}

	@Example
	void refusesUnknownKeysMethodsAndResources() throws Exception {
		assertThat(send("GET /v1/jobs/job-1 HTTP/1.1\r\nHost: x\r\n\r\n")).startsWith("HTTP/1.1 401");
		assertThat(send("GET /v1/jobs/job-1 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer kez\r\n\r\n"))
			.startsWith("HTTP/1.1 401");
		assertThat(send("PUT /v1/jobs HTTP/1.1\r\n" + HEADERS + "\r\n")).startsWith("HTTP/1.1 405");
		assertThat(send("GET /nothing HTTP/1.1\r\n" + HEADERS + "\r\n")).startsWith("HTTP/1.1 404");
		assertThat(send("GET /v1/jobs/a%20b HTTP/1.1\r\n" + HEADERS + "\r\n")).startsWith("HTTP/1.1 400");
		assertThat(send("GET /v1/jobs/a?waitMs=-1 HTTP/1.1\r\n" + HEADERS + "\r\n")).startsWith("HTTP/1.1 400");
		assertThat(this.requests).isEmpty();
	}

	@Example
	void refusesABodyThatExceedsTheLimitWithATypedError() throws Exception {
		assertThat(send("POST /v1/jobs HTTP/1.1\r\n" + HEADERS + "Content-Length: 100001\r\n\r\n"))
			.startsWith("HTTP/1.1 413")
			.contains("\"code\":\"bad_request\"");
	}

	@Example
	void refusesABodyThatDoesNotArriveInTime() throws Exception {
		assertThat(send("POST /v1/jobs HTTP/1.1\r\n" + HEADERS + "Content-Length: 50\r\n\r\n{\"dead"))
			.startsWith("HTTP/1.1 408")
			.contains("did not arrive within 300 ms");
		assertThat(this.requests).isEmpty();
	}

	@Property(seed = "4723", tries = 100)
	void answersRandomBytesWithAnErrorOrClosesTheConnection(@ForAll @Size(max = 300) byte[] bytes) throws Exception {
		try (Socket socket = new Socket(HOST, this.port.port())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			socket.getOutputStream().write(bytes);
			socket.getOutputStream().write("\r\n\r\n".getBytes());
			socket.shutdownOutput();
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			assertThat(response).doesNotStartWith("HTTP/1.1 2");
		}
		catch (SocketException ex) {
			assertThat(ex).hasMessageContaining("reset");
		}
		assertThat(this.requests).isEmpty();
	}

	private String post(String body) throws IOException {
		return send("POST /v1/jobs HTTP/1.1\r\n" + HEADERS + "Content-Length: " + body.length() + "\r\n\r\n" + body);
	}

	private String send(String request) throws IOException {
		try (Socket socket = new Socket(HOST, this.port.port())) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			OutputStream out = socket.getOutputStream();
			out.write(request.getBytes(StandardCharsets.ISO_8859_1));
			return readResponse(socket.getInputStream());
		}
	}

	private static String readResponse(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		while (!text.toString().contains("\r\n\r\n")) {
			int character = in.read();
			if (character < 0) {
				return text.toString();
			}
			text.append((char) character);
		}
		int headerStart = text.indexOf("Content-Length: ");
		int length = Integer.parseInt(text.substring(headerStart + 16, text.indexOf("\r\n", headerStart)));
		return text + new String(in.readNBytes(length), StandardCharsets.UTF_8);
	}

	private static String sha256(String key) {
		try {
			return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.getBytes()));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new AssertionError(ex);
		}
	}

	private final class RecordingGateway implements CallerGateway {

		@Override
		public boolean enqueue(CallerRequest request, Consumer<CallerReply> replyConsumer) {
			CallersHandlerTests.this.requests.add(request);
			if (request instanceof ReserveJobId) {
				replyConsumer.accept(new JobIdReserved(new JobId("issued")));
			}
			else {
				replyConsumer.accept(CallersHandlerTests.this.reply);
			}
			return true;
		}

	}

}
