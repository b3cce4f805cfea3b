package io.coriandermux.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads input files; the path {@code -} is standard input.
 */
final class InputFiles {

	private static final String STANDARD_INPUT = "-";

	private InputFiles() {
	}

	static String read(Path file) throws IOException {
		if (file.toString().equals(STANDARD_INPUT)) {
			return new String(System.in.readAllBytes(), StandardCharsets.UTF_8);
		}
		return Files.readString(file);
	}

}
