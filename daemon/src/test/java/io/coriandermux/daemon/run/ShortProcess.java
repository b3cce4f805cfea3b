package io.coriandermux.daemon.run;

import java.util.List;

import io.coriandermux.core.id.RackName;
import io.coriandermux.core.id.ZoneName;
import io.coriandermux.daemon.settings.ProcessSettings;
import org.jboss.logging.Logger;

/**
 * A process that is shut down at once.
 */
public final class ShortProcess implements Shell {

	static final int RECORDS = 500;

	public static void main(String[] args) throws InterruptedException {
		ProcessSettings settings = new ProcessSettings("short", new ZoneName("zone"), new RackName("rack"), "127.0.0.1",
				0, 0, List.of(), "a secret for this test", 1, 0);
		System.exit(ProcessRunner.run(() -> new ProcessRunner.StartedProcess(new ShortProcess(), settings)));
	}

	@Override
	public int peerPort() {
		return 0;
	}

	@Override
	public int operatorsPort() {
		return 0;
	}

	@Override
	public void awaitDrainRequestOrFailure() {
		// The shutdown is requested from the start.
	}

	@Override
	public boolean hasFailed() {
		return false;
	}

	@Override
	public void requestDrain() {
		// It is requested already.
	}

	@Override
	public boolean drain() {
		return true;
	}

	@Override
	public void close() {
		for (int record = 0; record < RECORDS; record++) {
			Logger.getLogger("short").info("closing " + record);
		}
	}

}
