package review;

import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * Clients of two queues, each with a service of its own, have chosen the same id.
 */
final class ForeignAnswer {

	private static final String ID = "0000000000000e01";

	private static final long DEADLINE_MILLIS = 10_000;

	private ForeignAnswer() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		String secondId = trouble ? ID : "0000000000000e02";
		Map<String, String> specs = Collections.synchronizedMap(new LinkedHashMap<>());
		boolean broken;
		try (Record record = new Record(Path.of(args[0], "record.txt"));
				Deployment deployment = new Deployment(record, (task, spec) -> specs.put(spec, task))) {
			Map<String, String> services = new LinkedHashMap<>();
			services.put("/orders/", "orders");
			services.put("/quotes/", "quotes");
			deployment.configure(7, services);
			deployment.addEntry("entry-1");
			deployment.addGuard("guard-1", "orders");
			deployment.addGuard("guard-2", "quotes");
			deployment.awaitReady("entry-1");
			Thread.sleep(1_500);
			CompletableFuture<Http.Reply> first = CompletableFuture.supplyAsync(() -> deployment.call("entry-1", "POST",
					"/orders/" + ID, DEADLINE_MILLIS, Deployment.job("sacks run-ms=2000", 1, 2_000)));
			Thread.sleep(500);
			Http.Reply second = deployment.call("entry-1", "POST", "/quotes/" + secondId, DEADLINE_MILLIS,
					Deployment.job("pergola run-ms=300", 1, 300));
			if (first.join().status() != 200) {
				record.write("the first job was not completed; the case can't run");
				System.exit(2);
			}
			broken = second.body().contains("completed") && !specs.containsKey("pergola run-ms=300");
			if (broken) {
				record.write("MIXED: the job of the queue /quotes/ is shown as completed, and no task of it has run");
			}
			record.write(broken ? "the rule is broken" : "the rule holds");
		}
		System.exit(broken ? 1 : 0);
	}

}
