package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.message.EndpointChanged;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.RunEnded;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.run.Amounts;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.core.run.EndpointLoad;
import io.coriandermux.core.run.RunId;
import io.coriandermux.core.run.RunOutcome;

/**
 * An entry's decisions under a paused clock, with guards that do what a test says.
 */
final class DispatchBed {

	static final Incarnation INCARNATION = new Incarnation(1);

	static final PoolName POOL = new PoolName("orders");

	static final Amounts CAPACITY = new Amounts(10_000, 1000, 0);

	static final Amounts NEEDS = new Amounts(4_000, 100, 0);

	final Map<CallerRef, BatchAnswer> answers = new LinkedHashMap<>();

	final List<Sent> sent = new ArrayList<>();

	private long nanos = 1_000_000_000L;

	final DispatchNode node = new DispatchNode(new EntryId("e1"), DispatchSettings.usual(), 1.5, this.answers::put,
			(guard, message) -> this.sent.add(new Sent(guard, message)), (notice) -> {
			}, now());

	private long callers;

	static DispatchBed with(String... guards) {
		DispatchBed bed = new DispatchBed();
		bed.node.tables(tables(1, "/q/"));
		bed.advance(4_000);
		for (String guard : guards) {
			bed.up(guard, CAPACITY, Set.of());
		}
		return bed;
	}

	static BatchTables tables(long version, String prefix) {
		return new BatchTables(version,
				List.of(new BatchRoute(new RouteName("quotes"), "host", prefix, POOL, 0, 2, 1.6, 60)));
	}

	Moment now() {
		return new Moment(this.nanos, this.nanos / 1_000_000);
	}

	void up(String guard, Amounts free, Set<String> labels) {
		this.node.guardUp(new GuardId(guard), INCARNATION);
		load(guard, CAPACITY, free, labels, 0);
	}

	void load(String guard, Amounts capacity, Amounts free, Set<String> labels, long order) {
		EndpointLoad load = new EndpointLoad(POOL, labels, capacity, free, true);
		this.node.message(new GuardId(guard), INCARNATION, new EndpointChanged(load, order), now());
		this.node.settle(now());
	}

	void advance(long millis) {
		for (long passed = 0; passed < millis; passed += 10) {
			this.nanos += 10_000_000;
			this.node.tick(now());
		}
	}

	CallerRef submit(String id, int tasks) {
		return submit(id, new TaskGroup(tasks, NEEDS, 200, "", "", 0));
	}

	CallerRef submit(String id, TaskGroup tasks) {
		return submit("/q/" + id, new BatchRequest(new BatchId(id), "spec", tasks, 3_000, Optional.empty()));
	}

	CallerRef submit(String path, BatchRequest request) {
		this.callers++;
		CallerRef caller = new CallerRef(this.callers);
		this.node.submit(caller, "host", path, request, now());
		return caller;
	}

	List<RunId> starts(String guard) {
		return this.sent.stream()
			.filter((sent) -> sent.guard().value().equals(guard) && sent.message() instanceof StartRun)
			.map((sent) -> ((StartRun) sent.message()).run())
			.toList();
	}

	List<RunId> starts() {
		return this.sent.stream()
			.filter((sent) -> sent.message() instanceof StartRun)
			.map((sent) -> ((StartRun) sent.message()).run())
			.toList();
	}

	List<RunId> stops() {
		return this.sent.stream()
			.filter((sent) -> sent.message() instanceof StopRun)
			.map((sent) -> ((StopRun) sent.message()).run())
			.toList();
	}

	void end(String guard, RunId run, RunOutcome outcome) {
		this.node.message(new GuardId(guard), INCARNATION, new RunEnded(run, outcome, 200), now());
		this.node.settle(now());
	}

	BatchVerdict verdict(CallerRef caller) {
		BatchAnswer answer = this.answers.get(caller);
		return (answer != null) ? answer.verdict() : null;
	}

	/**
	 * A message to a guard.
	 *
	 * @param guard the guard
	 * @param message the message
	 */
	record Sent(GuardId guard, Message message) {

	}

}
