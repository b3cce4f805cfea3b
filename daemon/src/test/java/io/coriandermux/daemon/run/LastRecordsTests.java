package io.coriandermux.daemon.run;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a process whose last records are lost, so that its log does not show
 * whether and why it has ended.
 */
class LastRecordsTests {

	@Example
	void writesTheRecordsOfItsShutdownBeforeTheProcessEnds() throws IOException, InterruptedException {
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Dorg.jboss.logging.provider=slf4j", "-cp", System.getProperty("java.class.path"),
				ShortProcess.class.getName())
			.redirectErrorStream(true)
			.start();
		String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		assertThat(process.waitFor()).isZero();
		assertThat(output.lines().filter((line) -> line.contains("closing"))).hasSize(ShortProcess.RECORDS);
	}

}
