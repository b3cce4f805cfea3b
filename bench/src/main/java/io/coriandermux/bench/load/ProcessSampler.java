package io.coriandermux.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Reads the resource usage of processes from the proc file system, see proc(5).
 */
public final class ProcessSampler {

	/**
	 * On all common architectures, the kernel reports processor time to user space in
	 * units of 10 ms.
	 */
	private static final long NANOS_PER_TICK = 10_000_000L;

	/**
	 * Index of the field in {@code /proc/PID/stat}, counted after the command name
	 * because that name may contain spaces.
	 */
	private static final int USER_TIME_FIELD = 11;

	private static final int SYSTEM_TIME_FIELD = 12;

	private static final int RESIDENT_PAGES_FIELD = 21;

	private static final long BYTES_PER_PAGE = 4096;

	private final Path root;

	/**
	 * Creates a sampler.
	 * @param root the mount point of the proc file system
	 */
	public ProcessSampler(Path root) {
		this.root = root;
	}

	/**
	 * Reads the usage of a process.
	 * @param pid the process id
	 * @return the usage
	 * @throws ProcessEndedException if the process has ended
	 */
	public ProcessUsage sample(long pid) throws ProcessEndedException {
		String stat = readStat(pid);
		String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
		long ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
		long pages = Long.parseLong(fields[RESIDENT_PAGES_FIELD]);
		return new ProcessUsage(ticks * NANOS_PER_TICK, pages * BYTES_PER_PAGE);
	}

	private String readStat(long pid) throws ProcessEndedException {
		try {
			return Files.readString(this.root.resolve(Long.toString(pid)).resolve("stat"));
		}
		catch (IOException ex) {
			throw new ProcessEndedException(pid, ex);
		}
	}

}
