package io.coriandermux.daemon.http;

import java.nio.charset.StandardCharsets;

import io.coriandermux.core.api.Resources;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against requests that are parsed to other values than the caller sent, and
 * against invalid input that causes anything but a typed error.
 */
class RequestParserTests {

	private static final String VALID_BODY = """
			{"id":"job-1","createdAt":1000,"deadlineMs":500,"nonIdempotent":true,"tasks":[
			{"path":"/a/b","payload":{"x":1},"needs":{"cores":2},"declaredMs":70},
			{"path":"/c","payload":"text"},{"path":"/d","payloadBase64":"AP8="}]}""";

	private final RequestParser parser = new RequestParser();

	@Example
	void parsesEachField() throws MalformedRequestException {
		SubmitJob job = parse(VALID_BODY);
		assertThat(job.job()).isEqualTo(new JobId("job-1"));
		assertThat(job.createdAtMillis()).isEqualTo(1000);
		assertThat(job.deadlineMillis()).isEqualTo(500);
		assertThat(job.nonIdempotent()).isTrue();
		assertThat(job.waitMillis()).isEqualTo(9);
		assertThat(job.tasks().get(0).payload()).asString(StandardCharsets.UTF_8).isEqualTo("{\"x\":1}");
		assertThat(job.tasks().get(0).needs()).isEqualTo(new Resources(2, 0, 0));
		assertThat(job.tasks().get(0).declaredMillis()).isEqualTo(70);
		assertThat(job.tasks().get(1).payload()).asString(StandardCharsets.UTF_8).isEqualTo("text");
		assertThat(job.tasks().get(2).payload()).containsExactly(0, 255);
	}

	@Example
	void reportsTheLocationOfAnError() {
		assertMalformed(VALID_BODY.replace("\"path\":\"/c\"", "\"path\":\"c\""), "tasks[1].path");
		assertMalformed(VALID_BODY.replace("/c", "/c\\r\\nX: y"), "tasks[1].path");
		assertMalformed(VALID_BODY.replace("\"payload\":\"text\"", "\"size\":1"), "tasks[1]: unknown field size");
		assertMalformed(VALID_BODY.replace("\"createdAt\":1000,", ""), "createdAt");
		assertMalformed(VALID_BODY.replace("500", "\"500\""), "deadlineMs");
		assertMalformed(VALID_BODY.replace("job-1", "job 1"), "id");
		assertMalformed(VALID_BODY.replace("text", "x".repeat(16 * 1024 + 1)), "tasks[1].payload");
		assertMalformed("{\"deadlineMs\":1,\"tasks\":[]}", "tasks");
		assertMalformed(VALID_BODY + "x", "not JSON");
		assertMalformed("[".repeat(100_000), "not JSON");
		assertMalformed(VALID_BODY.replace("\"id\"", "\"deadlineMs\":1,\"id\""), "not JSON: Duplicate");
	}

	@Example
	void keepsAPayloadOutsideOfAscii() throws MalformedRequestException {
		String text = "\u03c3\u03ac\u03ba\u03bf\u03b9, M\u00fcller, \ud83d\ude9a";
		SubmitJob job = parse(VALID_BODY.replace("text", text));
		assertThat(job.tasks().get(1).payload()).asString(StandardCharsets.UTF_8).isEqualTo(text);
	}

	// Guards against a payload that reaches the endpoint with a question mark in place of
	// a character that UTF-8 cannot encode.
	@Example
	void rejectsAPayloadWithAnUnpairedSurrogate() {
		assertMalformed(VALID_BODY.replace("text", "a\\ud800"), "tasks[1].payload: the text has an unpaired surrogate");
		assertMalformed(VALID_BODY.replace("{\"x\":1}", "{\"x\":\"\\udc00\"}"), "tasks[0].payload");
	}

	@Property(seed = "4722", tries = 1000)
	void parsesACorruptedBodyOrThrowsATypedError(@ForAll @IntRange(max = 300) int position,
			@ForAll @Size(max = 5) byte[] bytes) {
		byte[] body = VALID_BODY.getBytes(StandardCharsets.UTF_8);
		for (int index = 0; index < bytes.length; index++) {
			body[(position + index) % body.length] = bytes[index];
		}
		try {
			assertThat(this.parser.parseSubmission(new OwnerId("guild"), body, 9, 77)).isNotNull();
		}
		catch (MalformedRequestException ex) {
			assertThat(ex.getMessage()).isNotBlank();
		}
	}

	private SubmitJob parse(String body) throws MalformedRequestException {
		Submission submission = this.parser.parseSubmission(new OwnerId("guild"), body.getBytes(StandardCharsets.UTF_8),
				9, 77);
		return submission.toRequest().apply(submission.id().orElseThrow());
	}

	private void assertMalformed(String body, String location) {
		assertThatExceptionOfType(MalformedRequestException.class).isThrownBy(() -> parse(body))
			.withMessageContaining(location);
	}

}
