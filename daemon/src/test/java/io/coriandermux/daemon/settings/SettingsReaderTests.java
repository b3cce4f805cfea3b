package io.coriandermux.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.coriandermux.core.id.OwnerId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against a process that starts with invalid settings, and against errors that are
 * reported one at a time.
 */
class SettingsReaderTests {

	private static final String HASH = "0123456789abcdef".repeat(4);

	private static final String PROCESS = """
			"id":"p1","zone":"thess-a","rack":"r1","address":"127.0.0.1","peerPort":7101,"operatorsPort":9101,
			"stores":["http://127.0.0.1:2379"],"secret":"sixteen characters"
			""";

	private static final String ENTRY = "{" + PROCESS + ",\"callersPort\":8101,\"owners\":[{\"owner\":\"guild\","
			+ "\"keySha256\":\"" + HASH + "\"}]}";

	private static final String GUARD = "{" + PROCESS + """
			,"endpoint":{"name":"run-1","url":"http://127.0.0.1:8080/base","slots":8,
			"capacity":{"cores":8,"memoryMb":1024,"accelerators":0}}}""";

	private final Path file = Files.createTempFile("settings", ".json");

	SettingsReaderTests() throws IOException {
	}

	@AfterTry
	void delete() throws IOException {
		Files.deleteIfExists(this.file);
	}

	@Example
	void readsAnEntryWithDefaults() throws Exception {
		EntryProcessSettings settings = new SettingsReader().readEntry(write(ENTRY));
		assertThat(settings.owners()).containsEntry(HASH, new OwnerId("guild"));
		assertThat(settings.process().connections()).isEqualTo(4096);
		assertThat(settings.process().toString()).doesNotContain("sixteen");
	}

	@Example
	void readsAGuardWithItsSecretFromAFile() throws Exception {
		Path secret = Files.createTempFile("secret", "");
		Files.writeString(secret, "another secret of the installation\n");
		GuardProcessSettings settings = new SettingsReader().readGuard(write(
				GUARD.replace("\"secret\":\"sixteen characters\"", "\"secretFile\":\"" + secret.getFileName() + "\"")));
		assertThat(settings.process().secret()).isEqualTo("another secret of the installation");
		assertThat(settings.url()).hasToString("http://127.0.0.1:8080/base");
		Files.delete(secret);
	}

	@Example
	void readsAnEntryThatServesBatches() throws Exception {
		BatchEntrySettings settings = new SettingsReader()
			.readBatchEntry(write("{" + PROCESS + ",\"callers\":\"10.1.0.13:8161\",\"ready\":\"10.1.0.13:8167\","
					+ "\"remoteFactor\":1.5,\"limits\":{\"drainMillis\":6000}}"));
		assertThat(settings.callers()).hasToString("10.1.0.13:8161");
		assertThat(settings.ready().port()).isEqualTo(8167);
		assertThat(settings.remoteFactor()).isEqualTo(1.5);
		assertThat(settings.process().drainMillis()).isEqualTo(6000);
	}

	@Example
	void readsAGuardWithALease() throws Exception {
		BatchGuardSettings settings = new SettingsReader()
			.readBatchGuard(write("{" + PROCESS + ",\"endpoint\":\"http://10.1.0.14:8165\",\"maxLeaseMillis\":1000}"));
		assertThat(settings.endpoint()).hasToString("http://10.1.0.14:8165");
		assertThat(settings.maxLeaseMillis()).isEqualTo(1000);
	}

	@Example
	void reportsTheErrorsOfBatchSettings() throws IOException {
		SettingsException entryException = catchThrowableOfType(SettingsException.class, () -> new SettingsReader()
			.readBatchEntry(write("{" + PROCESS + ",\"callers\":\"8161\",\"ready\":1,\"remoteFactor\":0.5}")));
		assertThat(entryException.errors()).hasSize(3);
		SettingsException guardException = catchThrowableOfType(SettingsException.class, () -> new SettingsReader()
			.readBatchGuard(write("{" + PROCESS + ",\"endpoint\":\"10.1.0.14\",\"maxLeaseMillis\":10,\"slots\":8}")));
		assertThat(guardException.errors()).hasSize(3);
	}

	@Example
	void reportsAllErrorsAtOnceWithTheirFields() throws IOException {
		String invalid = ENTRY.replace("\"127.0.0.1\"", "\"host\"")
			.replace("7101", "70000")
			.replace(HASH, "ABC")
			.replace("sixteen characters", "short")
			.replace("\"rack\":\"r1\",", "\"speed\":1,");
		SettingsException ex = catchThrowableOfType(SettingsException.class,
				() -> new SettingsReader().readEntry(write(invalid)));
		assertThat(ex.errors()).hasSize(6)
			.anyMatch((error) -> error.startsWith("address: "))
			.anyMatch((error) -> error.startsWith("peerPort: "))
			.anyMatch((error) -> error.startsWith("rack: missing"))
			.anyMatch((error) -> error.startsWith("speed: unknown field"))
			.anyMatch((error) -> error.startsWith("secret: at least"))
			.anyMatch((error) -> error.startsWith("owners[0].keySha256: "));
	}

	@Property(seed = "4721", tries = 300)
	void readsCorruptedSettingsOrReportsTheirErrors(@ForAll @IntRange(max = 400) int position,
			@ForAll @IntRange(max = 30) int length, @ForAll boolean guard) throws IOException {
		String valid = guard ? GUARD : ENTRY;
		int from = position % valid.length();
		String corrupted = valid.substring(0, from) + valid.substring(Math.min(valid.length(), from + length));
		try {
			write(corrupted);
			assertThat(guard ? new SettingsReader().readGuard(this.file) : new SettingsReader().readEntry(this.file))
				.isNotNull();
		}
		catch (SettingsException ex) {
			assertThat(ex.errors()).isNotEmpty().noneMatch(String::isBlank);
		}
	}

	private Path write(String text) throws IOException {
		return Files.writeString(this.file, text);
	}

}
