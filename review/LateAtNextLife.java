package review;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * A runner leaves an order to start unanswered, crashes, is back under its id, and the
 * order is carried out then.
 */
final class LateAtNextLife {

	private static final String PATH = "/orders/00000000000000d0";

	private static final String TASK = "00000000000000d0.0.0.0";

	/** One runner of seven that crashes is a share below .15. */
	private static final int GUARDS = 7;

	private static final long DEADLINE_MILLIS = 20_000;

	private LateAtNextLife() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !args[1].equals("0");
		boolean broken = false;
		try (Record record = new Record(Path.of(args[0], "record.txt"));
				Deployment deployment = new Deployment(record, (task, spec) -> {
				})) {
			deployment.configure(7, "/orders/");
			deployment.addEntry("entry-1");
			for (int number = 1; number <= GUARDS; number++) {
				deployment.addGuard("guard-" + number);
			}
			deployment.awaitReady("entry-1");
			Thread.sleep(1_000);
			deployment.runners().forEach((runner) -> runner.setLateOrders(trouble));
			CompletableFuture
				.runAsync(() -> deployment.call("entry-1", "POST", PATH, DEADLINE_MILLIS, Deployment.job("run-ms=8000", 1, 8_000)));
			RunnerServer late = null;
			long endMillis = record.millis() + 3_000;
			while (trouble && late == null && record.millis() < endMillis) {
				Thread.sleep(1);
				late = deployment.runners().stream().filter((runner) -> runner.lateStarts() > 0).findFirst().orElse(null);
			}
			deployment.runners().forEach((runner) -> runner.setLateOrders(false));
			Thread.sleep(1_500);
			if (late != null) {
				late.crash();
				Thread.sleep(1_000);
				late.restart();
				late.carryOutLateStarts(0);
			}
			Thread.sleep(500);
			broken = deployment.runs().isTwice();
			if (deployment.running().isEmpty()) {
				record.write("the job does not run; the case can't run");
				System.exit(2);
			}
			record.write(broken ? "the rule is broken" : "the rule holds");
		}
		System.exit(broken ? 1 : 0);
	}

}
