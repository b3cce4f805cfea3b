package io.coriandermux.soak;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.coriandermux.platform.standin.RunObserver;

/**
 * Tells a fault of the next start of a run, before the guard receives the answer to its
 * order, and passes all events on.
 */
final class StartWatch implements RunObserver {

	private static final Pattern NUMBER = Pattern.compile("endpoint-(\\d+)-.*");

	private final RunObserver next;

	private final AtomicReference<IntConsumer> listener = new AtomicReference<>();

	StartWatch(RunObserver next) {
		this.next = next;
	}

	/**
	 * Waits for the next start of a run, in place of one that is still awaited.
	 * @param action receives the index of the endpoint, once; the endpoint waits for it
	 */
	void awaitStart(IntConsumer action) {
		this.listener.set(action);
	}

	@Override
	public void onRunStarted(String endpoint, String task, long run, String spec, long drainingMillis) {
		this.next.onRunStarted(endpoint, task, run, spec, drainingMillis);
		Matcher matcher = NUMBER.matcher(endpoint);
		IntConsumer action = matcher.matches() ? this.listener.getAndSet(null) : null;
		if (action != null) {
			action.accept(Integer.parseInt(matcher.group(1)) - 1);
		}
	}

	@Override
	public void onRunEnded(String endpoint, String task, long run, String outcome) {
		this.next.onRunEnded(endpoint, task, run, outcome);
	}

	@Override
	public void onOrder(String endpoint, String order) {
		this.next.onOrder(endpoint, order);
	}

}
