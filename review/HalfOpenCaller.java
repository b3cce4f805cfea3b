package review;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * A client's connection has gone silent, so that its entry doesn't learn that it leaves,
 * while that entry is cut off from the other one, to which the client sends its job again.
 */
final class HalfOpenCaller {

	private static final String PATH = "/orders/00000000000000f0";

	private static final long DEADLINE_MILLIS = 10_000;

	private static final long LEAVE_MILLIS = 1_500;

	private static final long RESEND_MILLIS = 1_300;

	private static final long CUT_MILLIS = 5_500;

	private HalfOpenCaller() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !args[1].equals("0");
		String job = Deployment.job("run-ms=6000", 8, 6_000);
		boolean broken;
		try (Record record = new Record(Path.of(args[0], "record.txt"));
				Deployment deployment = new Deployment(record, (task, spec) -> {
				})) {
			deployment.configure(7, "/orders/");
			deployment.addEntry("entry-1");
			TcpPath between = deployment.addEntryBehindPath("entry-2");
			for (int number = 1; number <= 4; number++) {
				deployment.addGuard("guard-" + number);
			}
			deployment.awaitReady("entry-1", "entry-2");
			Thread.sleep(2_000);
			deployment.serveOtherClients("entry-1", 3);
			TcpPath client = new TcpPath(deployment.callers("entry-1"));
			CompletableFuture<Http.Reply> first = CompletableFuture.supplyAsync(() -> deployment.call("entry-1",
					client.port(), "POST", PATH, DEADLINE_MILLIS, LEAVE_MILLIS, job));
			deployment.awaitRun();
			if (trouble) {
				between.setSilent(true);
				record.write("entry-1 and entry-2 are cut off from each other");
				client.silenceOpenConnections();
				record.write("the client's connection has gone silent");
			}
			first.join();
			record.write("the client leaves");
			Thread.sleep(RESEND_MILLIS);
			CompletableFuture
				.runAsync(() -> deployment.call("entry-2", "POST", PATH, DEADLINE_MILLIS, job));
			Thread.sleep(CUT_MILLIS - LEAVE_MILLIS - RESEND_MILLIS);
			between.setSilent(false);
			record.write("the cut has ended");
			Thread.sleep(2_000);
			if (deployment.running().isEmpty()) {
				record.write("the job does not run; the case can't run");
				System.exit(2);
			}
			broken = deployment.runs().isTwice();
			record.write(broken ? "the rule is broken" : "the rule holds");
		}
		System.exit(broken ? 1 : 0);
	}

}
