package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Writes what was sent, answered and run to a file, with the milliseconds since the start.
 */
final class Record implements AutoCloseable {

	private final PrintWriter out;

	private final long startedNanos = System.nanoTime();

	Record(Path file) throws IOException {
		this.out = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
	}

	long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	synchronized void write(String line) {
		this.out.printf("%6d  %s%n", millis(), line);
		this.out.flush();
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
