package review;

import java.nio.file.Path;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A client submits jobs whose spec is not ASCII, in UTF-8 as JSON is. The runners have to
 * receive the same spec.
 */
final class OtherSpec {

	private OtherSpec() {
	}

	public static void main(String[] args) throws Exception {
		boolean trouble = !args[1].equals("0");
		String[] texts = trouble ? new String[] { "σάκοι 12 run-ms=200", "Müller, Dachträger 3,5 m run-ms=200" }
				: new String[] { "sakoi 12 run-ms=200", "Mueller, Dachtraeger 3,5 m run-ms=200" };
		Map<String, String> received = Collections.synchronizedMap(new LinkedHashMap<>());
		boolean broken = false;
		try (Record record = new Record(Path.of(args[0], "record.txt"));
				Deployment deployment = new Deployment(record, received::put)) {
			deployment.configure(7, "/orders/");
			deployment.addEntry("entry-1");
			deployment.addGuard("guard-1");
			deployment.awaitReady("entry-1");
			for (int index = 0; index < texts.length; index++) {
				String id = "00000000000000a" + index;
				Http.Reply reply = deployment.call("entry-1", "POST", "/orders/" + id, 5_000,
						Deployment.job(texts[index], 1, 200));
				String spec = received.get(id + ".0.0.0");
				if (spec == null) {
					record.write("the task was not started: status " + reply.status());
					System.exit(2);
				}
				if (!spec.equals(texts[index])) {
					broken = true;
					record.write("UNASKED: the client sent the spec \"" + texts[index]
							+ "\", the runner was told to start \"" + spec + "\"");
				}
			}
			record.write(broken ? "the rule is broken" : "the rule holds");
		}
		System.exit(broken ? 1 : 0);
	}

}
