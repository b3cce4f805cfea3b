package io.coriandermux.daemon.guard;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import io.coriandermux.core.guard.AbortTask;
import io.coriandermux.core.guard.DrainFinished;
import io.coriandermux.core.guard.EntryConnected;
import io.coriandermux.core.guard.EntryDisconnected;
import io.coriandermux.core.guard.EntryMessage;
import io.coriandermux.core.guard.GuardEffect;
import io.coriandermux.core.guard.GuardEvent;
import io.coriandermux.core.guard.GuardNode;
import io.coriandermux.core.guard.GuardNotice;
import io.coriandermux.core.guard.RunTask;
import io.coriandermux.core.guard.SendToEntry;
import io.coriandermux.core.guard.TaskEnded;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.Start;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.DecisionLoop;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * Passes events to the state machine of a guard and executes the resulting effects in
 * order. Used by the decision thread only.
 */
final class GuardNodeRunner {

	private final ProcessContext context;

	private final GuardNode node;

	private final LinkEventLoop links;

	private final EndpointClient endpoint;

	private final DecisionLoop loop;

	private final Runnable onDrained;

	private final Map<PeerName, PeerIdentity> connectedPeers = new LinkedHashMap<>();

	GuardNodeRunner(ProcessContext context, GuardNode node, LinkEventLoop links, EndpointClient endpoint,
			DecisionLoop loop, Runnable onDrained) {
		this.context = context;
		this.node = node;
		this.links = links;
		this.endpoint = endpoint;
		this.loop = loop;
		this.onDrained = onDrained;
	}

	GuardNode node() {
		return this.node;
	}

	void onConnected(PeerIdentity peer) {
		this.context.log()
			.record(LogEvent.LINK_UP, peer.name().toString(), "incarnation " + peer.incarnation().value());
		this.connectedPeers.put(peer.name(), peer);
		handle(new EntryConnected(new EntryId(peer.name().id()), peer.incarnation()));
	}

	void onLost(PeerIdentity peer) {
		this.context.log()
			.record(LogEvent.PEER_LOST, peer.name().toString(), "incarnation " + peer.incarnation().value());
		this.connectedPeers.remove(peer.name(), peer);
		handle(new EntryDisconnected(new EntryId(peer.name().id()), peer.incarnation()));
	}

	void onMessage(PeerIdentity peer, Message message) {
		handle(new EntryMessage(new EntryId(peer.name().id()), peer.incarnation(), message));
		if (message instanceof Heartbeat heartbeat) {
			this.links.acknowledge(peer, heartbeat.clockNanos());
		}
	}

	void handle(GuardEvent event) {
		List<GuardEffect> effects = this.node.handle(event, this.context.time().now());
		effects.forEach(this::execute);
	}

	private void execute(GuardEffect effect) {
		if (effect instanceof SendToEntry send) {
			this.context.metrics().count("messages.sent." + send.message().getClass().getSimpleName());
			this.links.send(new PeerName(PeerRole.ENTRY, send.entry().value()), send.message());
		}
		else if (effect instanceof RunTask run) {
			startTask(run.start());
		}
		else if (effect instanceof AbortTask abort) {
			this.endpoint.abort(abort.task());
		}
		else if (effect instanceof GuardNotice notice) {
			this.context.metrics().count("notices." + notice.notice().kind().name().toLowerCase(Locale.ROOT));
			this.context.log().record(notice.notice());
		}
		else if (effect instanceof DrainFinished) {
			this.onDrained.run();
		}
	}

	private void startTask(Start start) {
		this.context.metrics().count("tasks.started");
		this.endpoint.run(start, (result) -> {
			this.context.metrics().recordDuration("tasks.run", result.runNanos());
			if (!result.success()) {
				this.context.metrics().count("tasks.failed");
			}
			this.loop.put(() -> handle(
					new TaskEnded(start.task(), start.attempt(), result.success(), result.body(), result.runNanos())));
		});
	}

}
