package io.coriandermux.cli;

import java.net.URI;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import io.coriandermux.standins.StoreFaults;
import io.coriandermux.standins.StoreStandIn;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against edits that are lost, applied twice, mixed with another editor's changes,
 * or reported with a wrong result.
 */
class TableCommandsTests {

	private static final String POOLS = """
			[{"name":"fast","endpoints":["r*"],"owners":[{"owner":"guild","weight":1,"maxInFlight":9}]}]""";

	private static final String ROUTES = """
			[{"name":"render","path":"/render","pool":"fast","timeoutMs":2000}]""";

	private final StoreStandIn store = StoreStandIn.start(0);

	private final URI url = this.store.url();

	@BeforeTry
	void writeTables() {
		assertThat(edit("pools set", "--file", CliRun.tempFile(POOLS)).code).isZero();
		assertThat(edit("routes set", "--file", CliRun.tempFile(ROUTES)).code).isZero();
	}

	@AfterTry
	void close() {
		this.store.close();
	}

	@Example
	void editIsReadBackWithItsAuditRecord() {
		CliRun run = edit("routes edit render timeoutMs=500");
		assertThat(run.json().path("toRevision").asLong()).isEqualTo(3);
		assertThat(routes().at("/routes/0/timeoutMs").asInt()).isEqualTo(500);
		JsonNode record = CliRun.of("routes history --json --owner guild --store " + this.url).json().at("/audit/1");
		assertThat(record.path("editor").asText()).isEqualTo("ada");
		assertThat(record.path("editedAt").asText()).isEqualTo("2026-12-04T04:53:20Z");
		assertThat(record.path("fromRevision").asLong()).isEqualTo(2);
		assertThat(record.path("toRevision").asLong()).isEqualTo(3);
		assertThat(record.at("/difference/0/before/timeoutMs").asInt()).isEqualTo(2000);
		assertThat(CliRun.of("audit export --store " + this.url).out.lines()).hasSize(3);
	}

	@Example
	void itemsAreAddedAndRemoved() {
		assertThat(edit("routes edit --add thumb path=/thumb pool=fast timeoutMs=9").code).isZero();
		assertThat(edit("routes edit --add thumb path=/x").code).isEqualTo(ExitCode.INVALID.number());
		assertThat(edit("routes edit --remove render").code).isZero();
		assertThat(edit("routes edit render timeoutMs=1").code).isEqualTo(ExitCode.NOT_FOUND.number());
		assertThat(routes().at("/routes")).singleElement()
			.satisfies((item) -> assertThat(item.path("name").asText()).isEqualTo("thumb"));
	}

	@Example
	void dryRunValidatesAndShowsTheDifferenceButWritesNothing() {
		CliRun run = edit("routes edit render pool=other --dry-run");
		assertThat(run.code).isEqualTo(ExitCode.INVALID.number());
		assertThat(run.json().at("/errors/0/rule").asText()).isEqualTo("unknown_pool");
		assertThat(
				edit("pools set --dry-run", "--file", CliRun.tempFile("[]")).json().at("/errors/0/document").asText())
			.isEqualTo("/config/routes/guild");
		assertThat(edit("routes edit render timeoutMs=7 --dry-run").json().at("/difference/0/after/timeoutMs").asInt())
			.isEqualTo(7);
		assertThat(routes().path("revision").asLong()).isEqualTo(2);
	}

	@Example
	void secondOfTwoConcurrentEditsIsAConflictThatShowsBothSides() {
		assertThat(edit("routes edit render timeoutMs=300 --base 2").code).isZero();
		CliRun second = edit("routes edit render timeoutMs=400 --base 2");
		assertThat(second.code).isEqualTo(ExitCode.CONFLICT.number());
		assertThat(second.json().at("/theirs/0/after/timeoutMs").asInt()).isEqualTo(300);
		assertThat(second.json().at("/yours/0/after/timeoutMs").asInt()).isEqualTo(400);
		assertThat(second.json().at("/theirEdits/0/editor").asText()).isEqualTo("ada");
		assertThat(routes().at("/routes/0/timeoutMs").asInt()).isEqualTo(300);
	}

	@Example
	void editIsAConflictIfAnotherEditIsWrittenAfterAFailedAttempt() {
		this.store.setFaults(StoreFaults.NONE);
		AtomicInteger sleeps = new AtomicInteger();
		// The store is unavailable for the first write; another edit is written while the
		// first editor waits for its retry.
		Sleeper writeOtherEdit = (millis) -> {
			if (sleeps.getAndIncrement() == 0) {
				this.store.setFaults(StoreFaults.NONE);
				assertThat(edit("routes edit render timeoutMs=300").code).isZero();
			}
		};
		CliRun run = runWithWriteOutage(writeOtherEdit, "400");
		assertThat(run.code).isEqualTo(ExitCode.CONFLICT.number());
		assertThat(run.err).contains("300", "400");
	}

	@Example
	void editWhoseAnswerIsLostIsFoundByItsId() {
		this.store.setFaults(StoreFaults.lostAnswers(1));
		CliRun run = edit("routes edit render timeoutMs=500");
		assertThat(run.code).isZero();
		assertThat(run.json().path("answerLost").asBoolean()).isTrue();
		assertThat(run.json().path("toRevision").asLong()).isEqualTo(3);
		assertThat(routes().path("revision").asLong()).isEqualTo(3);
		String id = run.json().path("editId").asText();
		assertThat(CliRun.of("routes history --owner guild --edit " + id + " --store " + this.url).code).isZero();
	}

	@Example
	void lostAnswerIsReportedCorrectlyIfAnotherEditFollowsBeforeTheRetry() {
		this.store.setFaults(StoreFaults.lostAnswers(1));
		AtomicInteger sleeps = new AtomicInteger();
		CliRun run = CliRun.run((millis) -> {
			if (sleeps.getAndIncrement() == 0) {
				assertThat(edit("routes edit render timeoutMs=600").code).isZero();
			}
		}, editLine("routes edit render timeoutMs=500"));
		assertThat(run.json().path("answerLost").asBoolean()).isTrue();
		assertThat(run.json().path("toRevision").asLong()).isEqualTo(3);
		assertThat(routes().at("/routes/0/timeoutMs").asInt()).isEqualTo(600);
	}

	@Example
	void editWithoutAnyAnswerIsReportedAsEffectUnknown() {
		CliRun run = runWithWriteOutage((millis) -> {
		}, "400");
		assertThat(run.code).isEqualTo(ExitCode.EFFECT_UNKNOWN.number());
		assertThat(run.err).contains("history --edit 01890a5d-");
	}

	@Example
	void outageFailsTheEditAndChangesNothing() {
		this.store.setFaults(StoreFaults.outage());
		assertThat(edit("routes edit render timeoutMs=1").code).isEqualTo(ExitCode.UNAVAILABLE.number());
		this.store.setFaults(StoreFaults.NONE);
		assertThat(routes().path("revision").asLong()).isEqualTo(2);
	}

	@Example
	void rollbackWritesTheOldContentAsANewRevision() {
		edit("routes edit render timeoutMs=500");
		edit("routes edit --add thumb path=/thumb pool=fast timeoutMs=9");
		assertThat(edit("routes rollback --to 2").json().path("toRevision").asLong()).isEqualTo(5);
		assertThat(routes().at("/routes/0/timeoutMs").asInt()).isEqualTo(2000);
		assertThat(routes().path("routes")).hasSize(1);
		assertThat(CliRun.of("routes diff --owner guild --from 2 --store " + this.url).out).contains("no difference");
		assertThat(edit("routes rollback --to 77").code).isEqualTo(ExitCode.NOT_FOUND.number());
	}

	/**
	 * Runs an edit whose read succeeds and whose writes fail: the store answers the read
	 * of the base revision, and answers each write with 503.
	 * @param sleeper called between the attempts
	 * @param timeout the new value
	 * @return the result
	 */
	private CliRun runWithWriteOutage(Sleeper sleeper, String timeout) {
		this.store.setFaults(StoreFaults.writeOutage());
		return CliRun.run(sleeper, "routes", "edit", "render", "timeoutMs=" + timeout, "--owner", "guild", "--editor",
				"bo", "--store", this.url.toString());
	}

	private CliRun edit(String line, Object... furtherArgs) {
		return CliRun.of(String.join(" ", editLine(line)), furtherArgs);
	}

	private String[] editLine(String line) {
		return (line + " --json --owner guild --editor ada --store " + this.url).split(" ");
	}

	private JsonNode routes() {
		return CliRun.of("routes get --json --owner guild --store " + this.url).json();
	}

}
