package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.coriandermux.core.dispatch.BatchAnswer;
import io.coriandermux.core.dispatch.BatchDispatcher;
import io.coriandermux.core.dispatch.BatchRequest;
import io.coriandermux.core.dispatch.BatchRoute;
import io.coriandermux.core.dispatch.BatchRouteTable;
import io.coriandermux.core.dispatch.CallerRef;
import io.coriandermux.core.dispatch.DispatchChannels;
import io.coriandermux.core.dispatch.DispatchSettings;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.ReleaseBatch;
import io.coriandermux.core.message.StartRun;
import io.coriandermux.core.message.StopRun;
import io.coriandermux.core.message.TakeOverBatch;

/**
 * An entry that runs the batch dispatcher.
 */
final class ModelEntry extends ModelProcess {

	static final String HOST = "host";

	private static final BatchRouteTable ROUTES = new BatchRouteTable(1,
			List.of(new BatchRoute(new RouteName("jobs"), HOST, "/", ModelEndpoint.POOL, 0, 2, 4, 2_000)));

	private final EntryId id;

	private final Map<GuardId, Consumer<Message>> links = new LinkedHashMap<>();

	private final Map<EntryId, Consumer<Message>> peers = new LinkedHashMap<>();

	private final List<Runnable> killHandlers = new ArrayList<>();

	/** Guards that the store does not list. */
	private final Set<GuardId> unannounced = new LinkedHashSet<>();

	private final Set<GuardId> connected = new LinkedHashSet<>();

	private Set<GuardId> listed = Set.of();

	private ModelCallers callers;

	private BatchDispatcher dispatcher;

	ModelEntry(String name, ModelClock clock, ModelTrace trace, SplittableRandom random) {
		super(name, clock, trace, random);
		this.id = new EntryId(name);
	}

	EntryId id() {
		return this.id;
	}

	void setCallers(ModelCallers value) {
		this.callers = value;
	}

	void addLink(GuardId guard, Consumer<Message> sender, Runnable onKilled) {
		this.links.put(guard, sender);
		this.killHandlers.add(onKilled);
	}

	void addPeer(EntryId entry, Consumer<Message> sender, Runnable onKilled) {
		this.peers.put(entry, sender);
		this.killHandlers.add(onKilled);
	}

	@Override
	void onStart() {
		this.dispatcher = new BatchDispatcher(new EntryIncarnation(this.id, incarnation()), DispatchSettings.defaults(),
				1, new DispatchChannels(this::answer, this::send, this::sendToPeer,
						(notice) -> log(notice.kind() + " " + notice.subject() + " : " + notice.detail())),
				now());
		this.dispatcher.applyRoutes(ROUTES);
		if (ClusterModel.CLAIMS) {
			this.connected.clear();
			this.listed = Set.of();
			listGuards();
			this.dispatcher.onEntriesListed(Set.copyOf(this.peers.keySet()), now());
		}
	}

	/**
	 * Sets whether the store lists a guard. A guard that is connected stays listed here.
	 * @param guard the guard
	 * @param value whether it is listed
	 */
	void setAnnounced(GuardId guard, boolean value) {
		if (value) {
			this.unannounced.remove(guard);
		}
		else {
			this.unannounced.add(guard);
		}
		post(this::listGuards);
	}

	boolean isListed(GuardId guard) {
		return !this.unannounced.contains(guard) || this.connected.contains(guard);
	}

	private void listGuards() {
		Set<GuardId> current = this.links.keySet().stream().filter(this::isListed).collect(Collectors.toSet());
		if (ClusterModel.CLAIMS && !current.equals(this.listed)) {
			this.listed = current;
			this.dispatcher.onGuardsListed(current, now());
		}
	}

	@Override
	void onKilled() {
		this.killHandlers.forEach(Runnable::run);
		this.callers.onEntryKilled(this);
	}

	@Override
	void tick() {
		this.dispatcher.tick(now());
	}

	void submit(CallerRef caller, BatchRequest request) {
		long sentNanos = readUntilNanos();
		post(() -> this.dispatcher.submit(caller, HOST, "/" + request.id().value(),
				request.withAge((clock().nanos() - sentNanos) / ModelClock.NANOS_PER_MILLI), now()));
	}

	void onCallerDisconnected(CallerRef caller) {
		post(() -> this.dispatcher.onCallerDisconnected(caller, now()));
	}

	/**
	 * Replaces the list of guards that this entry has read from the store.
	 * @param guards the guards
	 */
	void listGuards(Set<GuardId> guards) {
		log("FAULT lists " + guards);
		post(() -> this.dispatcher.onGuardsListed(guards, now()));
	}

	void onGuardConnected(GuardId guard, Incarnation incarnation) {
		post(() -> {
			this.connected.add(guard);
			this.dispatcher.onGuardConnected(guard, incarnation);
		});
	}

	void onGuardLost(GuardId guard, Incarnation incarnation) {
		log("FAULT lost " + guard);
		post(() -> {
			this.dispatcher.onGuardLost(guard, incarnation, now());
			this.connected.remove(guard);
			listGuards();
		});
	}

	void onMessage(GuardId guard, Incarnation incarnation, Message message) {
		post(() -> {
			this.dispatcher.onMessage(guard, incarnation, message, now());
			this.dispatcher.placeIfDue(now());
		});
	}

	void onEntryConnected(EntryId entry, Incarnation incarnation) {
		post(() -> this.dispatcher.onEntryConnected(entry, incarnation, now()));
	}

	void onEntryLost(EntryId entry, Incarnation incarnation) {
		log("FAULT lost " + entry);
		post(() -> this.dispatcher.onEntryLost(entry, incarnation, now()));
	}

	void onEntryMessage(EntryId entry, Incarnation incarnation, Message message) {
		post(() -> this.dispatcher.onEntryMessage(entry, incarnation, message, now()));
	}

	private void sendToPeer(EntryId entry, Message message) {
		emit(() -> {
			if (message instanceof ReleaseBatch release) {
				log("requests the release of " + release.batch().value() + " by " + entry);
			}
			else if (message instanceof ClaimBatch claim) {
				log("claims " + claim.batch().value() + " at " + entry);
			}
			else if (message instanceof ClaimAnswer answer) {
				log("answers the claim of " + answer.batch().value() + " by " + entry + " : complete "
						+ answer.complete() + ", holder " + answer.holder());
			}
			this.peers.get(entry).accept(message);
		});
	}

	private void answer(CallerRef caller, BatchAnswer answer) {
		emit(() -> this.callers.onAnswer(caller, answer));
	}

	private void send(GuardId guard, Message message) {
		emit(() -> {
			if (message instanceof StartRun start) {
				log("requests " + start.run() + " at " + guard);
			}
			else if (message instanceof StopRun stop) {
				log("requests the stop of " + stop.run() + " at " + guard);
			}
			else if (message instanceof ClaimBatch claim) {
				log("claims " + claim.batch().value() + " at " + guard
						+ claim.replaced().map((holder) -> " in place of " + holder).orElse(""));
			}
			else if (message instanceof TakeOverBatch takeOver) {
				log("takes over " + takeOver.batch().value() + " at " + guard + " with number " + takeOver.number());
			}
			this.links.get(guard).accept(message);
		});
	}

}
