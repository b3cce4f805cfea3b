package review;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client cancels its job, both calls are answered with 200, and some seconds later its
 * submission arrives once more.
 */
final class CancelledRunsAgain {

	private static final String PATH = "/orders/00000000000000c0";

	private static final long CANCEL_MILLIS = 3_000;

	private static final long DEADLINE_MILLIS = 10_000;

	private CancelledRunsAgain() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !args[1].equals("0");
		String job = Deployment.job("run-ms=2000", 2, 2_000);
		boolean broken;
		AtomicLong lastStart = new AtomicLong(-1);
		try (Record record = new Record(Path.of(args[0], "record.txt"));
				Deployment deployment = new Deployment(record, (task, spec) -> lastStart.set(record.millis()))) {
			deployment.configure(7, "/orders/");
			deployment.addEntry("entry-1");
			deployment.addEntry("entry-2");
			deployment.addGuard("guard-1");
			deployment.addGuard("guard-2");
			deployment.awaitReady("entry-1", "entry-2");
			Thread.sleep(1_000);
			deployment.serveOtherClients("entry-2", 3);
			CompletableFuture<Http.Reply> submitted = CompletableFuture
				.supplyAsync(() -> deployment.call("entry-1", "POST", PATH, DEADLINE_MILLIS, job));
			deployment.awaitRun();
			Thread.sleep(200);
			Http.Reply cancelled = deployment.call("entry-1", "DELETE", PATH, 4_000, "");
			long acknowledged = record.millis();
			if (cancelled.status() != 200 || submitted.join().status() != 200 || lastStart.get() < 0) {
				record.write("the job was not cancelled while it ran; the case can't run");
				System.exit(2);
			}
			Thread.sleep(CANCEL_MILLIS + 1_000);
			if (trouble) {
				deployment.call("entry-1", "POST", PATH, DEADLINE_MILLIS, job);
			}
			Thread.sleep(2_500);
			broken = lastStart.get() - acknowledged > CANCEL_MILLIS;
			if (broken) {
				record.write("UNASKED: a task of the cancelled job started " + (lastStart.get() - acknowledged)
						+ " ms after its cancelling was acknowledged");
			}
			record.write(broken ? "the rule is broken" : "the rule holds");
		}
		System.exit(broken ? 1 : 0);
	}

}
