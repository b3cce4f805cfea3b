package io.coriandermux.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.JsonDocuments;
import io.coriandermux.core.id.JobId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Submits a job and waits for its outcome.
 */
@Command(name = "submit", mixinStandardHelpOptions = true,
		description = "Submits a job and waits for its outcome. If the file has no id, a time-ordered id is generated, "
				+ "so that the job can be resubmitted after a lost answer without running twice.")
final class JobSubmitCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Mixin
	private OutputOptions output;

	@Option(names = "--file", required = true, description = "File with the job as JSON; - is standard input.")
	private Path file;

	@Option(names = "--id", description = "The job id (default: the one in the file).")
	private String id;

	@Option(names = "--created-at", paramLabel = "MS",
			description = "Time of the id's first use, in milliseconds since 1970-01-01 UTC. Required with an id of "
					+ "the caller's own form, and the same in every submission (default: the one in the file).")
	private Long createdAt;

	@Override
	public Integer call() throws Exception {
		JsonNode job = JsonDocuments.parse(this.file.toString(), InputFiles.read(this.file));
		if (!job.isObject()) {
			throw new CliException(ExitCode.INVALID, this.file + " does not contain a JSON object");
		}
		ObjectNode body = (ObjectNode) job;
		if (this.id != null) {
			body.put("id", this.id);
		}
		else if (!body.has("id")) {
			body.put("id", this.output.context().idGenerator().get());
		}
		if (this.createdAt != null) {
			body.put("createdAt", this.createdAt);
		}
		if (!body.has("createdAt") && new JobId(body.get("id").asText()).createdAtMillis().isEmpty()) {
			throw new CliException(ExitCode.INVALID, "the id " + body.get("id").asText()
					+ " does not contain its creation time; give the time of its first use as createdAt");
		}
		return new JobClient(this.entry, this.output).call("POST", "/v1/jobs?waitMs=" + this.entry.waitMillis(),
				body.toString(), body.get("id").asText());
	}

}
