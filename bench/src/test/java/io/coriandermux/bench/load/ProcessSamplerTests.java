package io.coriandermux.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against processor time and memory that are read from the wrong field.
 */
class ProcessSamplerTests {

	private static final String STAT = "42 (java (old)) S 1 2 3 4 5 6 7 8 9 10 150 50 13 14 15 16 17 18 19 20 256 99 0";

	@Example
	void userAndSystemTimeAreAddedAndPagesBecomeBytes() throws IOException, ProcessEndedException {
		Path root = Files.createTempDirectory("proc");
		Files.writeString(Files.createDirectory(root.resolve("42")).resolve("stat"), STAT);
		ProcessUsage usage = new ProcessSampler(root).sample(42);
		assertThat(usage).isEqualTo(new ProcessUsage(2_000_000_000L, 256 * 4096));
	}

	@Example
	void processThatHasEndedThrows() throws IOException {
		Path root = Files.createTempDirectory("proc");
		assertThatExceptionOfType(ProcessEndedException.class).isThrownBy(() -> new ProcessSampler(root).sample(42));
	}

}
