package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.proof.journal.ReplyReceived;
import io.coriandermux.proof.journal.RequestFailed;
import io.coriandermux.proof.journal.RequestSent;

/**
 * The connections of callers: delivers requests to entries and replies to callers, and
 * maps forwarded messages to the original requests.
 */
final class CallerConnections {

	private static final long CLIENT_DELAY_NANOS = 1_000_000;

	private static final long REPLY_TIMEOUT_NANOS = 4_000_000_000L;

	private final Simulation simulation;

	private final Map<Long, Call> openRequests = new LinkedHashMap<>();

	private final Map<Long, Call> allRequests = new LinkedHashMap<>();

	private final Map<String, Long> forwardedRequests = new LinkedHashMap<>();

	private long lastNumber;

	CallerConnections(Simulation simulation) {
		this.simulation = simulation;
	}

	void sendRequest(Caller caller, String preferred, CallerRequest request) {
		long number = ++this.lastNumber;
		EntryProcess entry = this.simulation.selectEntry(preferred);
		String name = (entry != null) ? entry.name() : "none";
		Call call = new Call(caller, name, request);
		this.openRequests.put(number, call);
		this.allRequests.put(number, call);
		this.simulation.journal()
			.add(new RequestSent(this.simulation.clock().now(), number, new EntryId(name), request));
		if (entry == null) {
			this.simulation.clock().scheduleAfter(CLIENT_DELAY_NANOS, () -> endWithoutReply(number, false));
			return;
		}
		this.simulation.clock().scheduleAfter(CLIENT_DELAY_NANOS, () -> deliverRequest(number, entry, request));
		this.simulation.clock().scheduleAfter(waitNanos(request) + REPLY_TIMEOUT_NANOS, () -> {
			if (this.openRequests.containsKey(number)) {
				endWithoutReply(number, true);
				entry.deliver(() -> entry.onCallerDisconnected(number));
			}
		});
	}

	private static long waitNanos(CallerRequest request) {
		if (request instanceof SubmitJob submit) {
			return submit.waitMillis() * SimulatedClock.NANOS_PER_MILLI;
		}
		return (request instanceof FetchJob fetch) ? fetch.waitMillis() * SimulatedClock.NANOS_PER_MILLI : 0;
	}

	private void deliverRequest(long number, EntryProcess entry, CallerRequest request) {
		if (entry.isDead()) {
			endWithoutReply(number, false);
			return;
		}
		entry.onRequest(number, request);
	}

	// Breaks the connections of the callers of an entry that ended.
	void onEntryEnded(EntryProcess entry) {
		for (long number : entry.openRequestNumbers()) {
			this.simulation.clock().scheduleAfter(CLIENT_DELAY_NANOS, () -> endWithoutReply(number, false));
		}
	}

	private void endWithoutReply(long number, boolean timedOut) {
		Call call = this.openRequests.remove(number);
		if (call != null) {
			this.simulation.journal().add(new RequestFailed(this.simulation.clock().now(), number, timedOut));
			call.caller().onConnectionBroken(call.request());
		}
	}

	void deliverReply(long number, CallerReply reply) {
		this.simulation.clock().scheduleAfter(CLIENT_DELAY_NANOS, () -> {
			Call call = this.openRequests.remove(number);
			if (call != null) {
				this.simulation.journal().add(new ReplyReceived(this.simulation.clock().now(), number, reply));
				call.caller().onReply(call.request(), reply);
			}
		});
	}

	// Records the request that an entry forwards with a correlation number.
	void recordForward(SimulatedProcess entry, long correlation, CallerRequest request) {
		String key = entry.name() + "/" + entry.incarnation() + "/" + correlation;
		if (this.forwardedRequests.containsKey(key)) {
			return;
		}
		for (Map.Entry<Long, Call> call : this.openRequests.entrySet()) {
			if (call.getValue().request() == request && call.getValue().entry().equals(entry.name())) {
				this.forwardedRequests.put(key, call.getKey());
			}
		}
	}

	// Returns the number of the request that an entry forwarded with a correlation
	// number, or 0 if there is none.
	long requestOfForward(String entry, long incarnation, long correlation) {
		return this.forwardedRequests.getOrDefault(entry + "/" + incarnation + "/" + correlation, 0L);
	}

	// Returns the job of a request, or null if the number is unknown or the job has
	// no id.
	JobKey jobOf(long number) {
		Call call = this.allRequests.get(number);
		return (call != null) ? call.caller().key() : null;
	}

	List<Long> openRequestNumbers() {
		return new ArrayList<>(this.openRequests.keySet());
	}

	private record Call(Caller caller, String entry, CallerRequest request) {
	}

}
