package io.coriandermux.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.coriandermux.platform.standin.RunObserver;
import io.coriandermux.wire.TimeSource;

/**
 * Checks the promises from what callers and endpoints see.
 */
final class Promises implements RunObserver {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** After the answer of a job none of its tasks may start any more. */
	private static final long STOPPED_MILLIS = 3_000;

	/** Starts at a leaving endpoint are allowed this long after it was heard. */
	private static final long LEAVING_MILLIS = 2_000;

	private final TimeSource time;

	private final long startedNanos;

	private final Map<String, JobSeen> jobs = new LinkedHashMap<>();

	private final Map<String, Set<String>> running = new LinkedHashMap<>();

	private final List<String> broken = new ArrayList<>();

	private long starts;

	Promises(TimeSource time) {
		this.time = time;
		this.startedNanos = time.now().nanos();
	}

	synchronized void handedIn(String id, int tasks, String spec) {
		this.jobs.computeIfAbsent(id, (key) -> new JobSeen(tasks, spec));
	}

	/**
	 * Takes note that a caller will not hand a job in any more.
	 * @param id the job
	 * @param refused whether each attempt was answered as not run
	 * @param completed whether it was answered as completed
	 */
	synchronized void closed(String id, boolean refused, boolean completed) {
		JobSeen job = this.jobs.get(id);
		job.closedMillis = millis();
		job.refused = refused;
		if (refused && job.starts > 0) {
			breaks("REFUSED", id + " was answered as not run, but " + job.starts + " tasks had started");
		}
		if (completed && job.done.size() < job.tasks) {
			breaks("WHOLE",
					id + " was answered as completed with " + job.done.size() + " of " + job.tasks + " tasks done");
		}
	}

	synchronized void breaks(String promise, String detail) {
		this.broken.add(promise + " at " + millis() + " ms: " + detail);
	}

	synchronized List<String> broken() {
		return List.copyOf(this.broken);
	}

	synchronized long starts() {
		return this.starts;
	}

	long millis() {
		return (this.time.now().nanos() - this.startedNanos) / NANOS_PER_MILLI;
	}

	@Override
	public synchronized void onRunStarted(String endpoint, String task, long run, String spec, long leavingMillis) {
		this.starts++;
		if (leavingMillis > LEAVING_MILLIS) {
			breaks("DRAIN", task + " starts at " + endpoint + ", which has been leaving for " + leavingMillis + " ms");
		}
		Set<String> places = this.running.computeIfAbsent(task, (key) -> new LinkedHashSet<>());
		if (!places.isEmpty()) {
			breaks("TWICE", task + " run " + run + " starts at " + endpoint + " while it runs at " + places);
		}
		places.add(endpoint + " run " + run);
		JobSeen job = this.jobs.get(task.substring(0, task.indexOf('.')));
		if (job == null || !job.spec.equals(spec)) {
			breaks("UNASKED", task + " starts at " + endpoint + " with specification " + spec);
			return;
		}
		job.starts++;
		if (job.refused) {
			breaks("REFUSED", task + " starts at " + endpoint + ", but the job was answered as not run");
		}
		if (job.closedMillis >= 0 && millis() - job.closedMillis > STOPPED_MILLIS) {
			breaks("UNASKED", task + " starts at " + endpoint + " " + (millis() - job.closedMillis)
					+ " ms after its caller was gone");
		}
	}

	@Override
	public synchronized void onRunEnded(String endpoint, String task, long run, String how) {
		Set<String> places = this.running.get(task);
		if (places != null) {
			places.remove(endpoint + " run " + run);
		}
		JobSeen job = this.jobs.get(task.substring(0, task.indexOf('.')));
		if (job != null && how.equals("done")) {
			job.done.add(task);
		}
	}

	private static final class JobSeen {

		private final int tasks;

		private final String spec;

		private final Set<String> done = new LinkedHashSet<>();

		private int starts;

		private boolean refused;

		private long closedMillis = -1;

		JobSeen(int tasks, String spec) {
			this.tasks = tasks;
			this.spec = spec;
		}

	}

}
