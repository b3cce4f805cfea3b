package io.coriandermux.proof.simulation;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.coriandermux.core.message.Message;

/**
 * Delivers messages over links, in order and exactly once unless a fault is injected.
 * Faults lose, delay, reorder or duplicate messages, or deliver them to another peer.
 */
final class Network {

	private static final long MIN_DELAY_NANOS = 500_000;

	private static final long JITTER_NANOS = 700_000;

	private static final long MIN_EXTRA_DELAY_MILLIS = 200;

	private static final long MAX_EXTRA_DELAY_MILLIS = 3000;

	private final Simulation simulation;

	private final Map<String, Link> links = new LinkedHashMap<>();

	private final Map<String, Long> cutUntil = new LinkedHashMap<>();

	private long disorderUntil;

	private int disorderPercent;

	Network(Simulation simulation) {
		this.simulation = simulation;
	}

	Link link(String opener, String acceptor) {
		return this.links.computeIfAbsent(opener + ">" + acceptor, (key) -> new Link(opener, acceptor));
	}

	// Returns the links of a process.
	List<Link> linksOf(String process) {
		List<Link> found = new ArrayList<>();
		for (Link link : this.links.values()) {
			if (link.opener().equals(process) || link.acceptor().equals(process)) {
				found.add(link);
			}
		}
		return found;
	}

	// Establishes a link after a round trip, unless it is cut or an end is unresponsive.
	void connect(Link link) {
		long roundTrip = 2 * randomDelay();
		this.simulation.clock().scheduleAfter(roundTrip, () -> {
			SimulatedProcess opener = this.simulation.process(link.opener());
			SimulatedProcess acceptor = this.simulation.process(link.acceptor());
			if (opener == null || acceptor == null || !opener.isResponsive() || !acceptor.isResponsive()
					|| isCut(link)) {
				return;
			}
			link.establish(opener, acceptor);
			acceptor.deliver(() -> acceptor.onConnected(link, opener));
			opener.deliver(() -> opener.onConnected(link, acceptor));
		});
	}

	void send(SimulatedProcess sender, Link link, Message message) {
		SimulatedProcess receiver = link.otherEnd(sender);
		if (receiver == null || link.isSilent() || isCut(link)) {
			return;
		}
		long now = this.simulation.clock().now();
		int generation = link.generation();
		boolean toAcceptor = receiver.name().equals(link.acceptor());
		long arrival = link.nextArrival(toAcceptor, now + randomDelay());
		boolean disorderActive = now < this.disorderUntil;
		if (disorderActive && drawDisorder()) {
			deliverDelayed(sender, receiver, link, message);
		}
		else {
			this.simulation.clock().scheduleAt(arrival, () -> deliver(sender, receiver, link, message, generation));
		}
		if (disorderActive && drawDisorder()) {
			deliverDelayed(sender, receiver, link, message);
		}
		if (disorderActive && drawDisorder()) {
			deliverToOtherPeer(sender, receiver, message);
		}
	}

	// Delivers a message after an extra delay, even if its connection has been replaced.
	private void deliverDelayed(SimulatedProcess sender, SimulatedProcess receiver, Link link, Message message) {
		this.simulation.clock()
			.scheduleAfter(this.simulation.random().nextLong(MIN_EXTRA_DELAY_MILLIS, MAX_EXTRA_DELAY_MILLIS)
					* SimulatedClock.NANOS_PER_MILLI, () -> deliver(sender, receiver, link, message, -1));
	}

	// Delivers a copy of a message to another connected process of the receiver's kind.
	private void deliverToOtherPeer(SimulatedProcess sender, SimulatedProcess receiver, Message message) {
		List<Link> others = new ArrayList<>();
		for (Link link : linksOf(sender.name())) {
			SimulatedProcess other = link.otherEnd(sender);
			if (other != null && other != receiver
					&& this.simulation.isGuard(other.name()) == this.simulation.isGuard(receiver.name())) {
				others.add(link);
			}
		}
		if (!others.isEmpty()) {
			Link link = others.get(this.simulation.random().nextInt(others.size()));
			this.simulation.clock()
				.scheduleAfter(randomDelay(), () -> deliver(sender, link.otherEnd(sender), link, message, -1));
		}
	}

	// Delivers a message. A message of an earlier connection is dropped, unless its
	// generation is -1.
	private void deliver(SimulatedProcess sender, SimulatedProcess receiver, Link link, Message message,
			int generation) {
		if (receiver == null || isCut(link)) {
			return;
		}
		receiver.deliver(() -> {
			if (generation < 0 || generation == link.generation()) {
				receiver.onMessage(link, sender.incarnation(), message);
			}
		});
	}

	void disorder(long nanos, int percent) {
		this.disorderUntil = Math.max(this.disorderUntil, this.simulation.clock().now() + nanos);
		this.disorderPercent = percent;
	}

	void cut(String first, String second, long nanos) {
		this.cutUntil.put(first + "|" + second, this.simulation.clock().now() + nanos);
	}

	private boolean isCut(Link link) {
		if (this.cutUntil.isEmpty()) {
			return false;
		}
		long now = this.simulation.clock().now();
		return this.cutUntil.getOrDefault(link.opener() + "|" + link.acceptor(), 0L) > now
				|| this.cutUntil.getOrDefault(link.acceptor() + "|" + link.opener(), 0L) > now;
	}

	private boolean drawDisorder() {
		return this.simulation.random().nextInt(100) < this.disorderPercent;
	}

	long randomDelay() {
		return MIN_DELAY_NANOS + this.simulation.random().nextLong(JITTER_NANOS);
	}

}
