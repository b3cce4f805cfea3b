package review;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * A client's entry is killed, the client sends its job again to the other entry, and
 * later cancels it at the first one, which is back.
 */
final class CancelElsewhere {

	private static final String PATH = "/orders/00000000000000b0";

	private static final long RESEND_MILLIS = 1_300;

	private static final long CANCEL_MILLIS = 3_000;

	private static final long STOP_MILLIS = 50;

	private static final long DEADLINE_MILLIS = 40_000;

	private CancelElsewhere() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !args[1].equals("0");
		String job = Deployment.job("run-ms=25000", 1, 25_000);
		boolean broken;
		try (Record record = new Record(Path.of(args[0], "record.txt"));
				Deployment deployment = new Deployment(record, (task, spec) -> {
				})) {
			deployment.configure(7, "/orders/");
			deployment.addEntry("entry-1");
			deployment.addEntry("entry-2");
			deployment.addGuard("guard-1");
			deployment.addGuard("guard-2");
			deployment.awaitReady("entry-1", "entry-2");
			Thread.sleep(1_000);
			deployment.serveOtherClients("entry-2", 3);
			CompletableFuture<Http.Reply> first = CompletableFuture
				.supplyAsync(() -> deployment.call("entry-1", "POST", PATH, DEADLINE_MILLIS, job));
			deployment.awaitRun();
			Thread.sleep(200);
			if (trouble) {
				deployment.signal("entry-1", "KILL");
				first.join();
				Thread.sleep(RESEND_MILLIS);
				CompletableFuture
					.runAsync(() -> deployment.call("entry-2", "POST", PATH, DEADLINE_MILLIS, job));
				deployment.start("entry-1");
				deployment.awaitReady("entry-1");
			}
			// Longer than contactMs, so that the kill excuses nothing that follows.
			Thread.sleep(4_000);
			if (deployment.running().isEmpty()) {
				record.write("the job is not running; the case can't run");
				System.exit(2);
			}
			Http.Reply cancelled = deployment.call("entry-1", "DELETE", PATH, 4_000, "");
			if (cancelled.status() != 410 && cancelled.status() / 100 != 2) {
				record.write("the cancelling was not acknowledged; the case can't run");
				System.exit(2);
			}
			long acknowledged = record.millis();
			Thread.sleep(CANCEL_MILLIS + STOP_MILLIS + 200);
			broken = !deployment.running().isEmpty();
			record.write((broken ? "UNASKED: running " : "running ") + deployment.running() + " "
					+ (record.millis() - acknowledged) + " ms after the cancelling was acknowledged with "
					+ cancelled.status());
			record.write(broken ? "the rule is broken" : "the rule holds");
		}
		System.exit(broken ? 1 : 0);
	}

}
