package io.coriandermux.core.model;

import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.HeldRuns;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.StopRun;

/**
 * The link between an entry and a guard or another entry. The first end opens it. Each
 * connection delivers in order. A message sent while there is no connection, or on its
 * way when the connection breaks, is dropped. A silent connection is replaced, and a peer
 * is reported lost only when nothing was received for longer than that.
 */
final class ModelLink {

	private static final long SILENCE_NANOS = 700 * ModelClock.NANOS_PER_MILLI;

	private static final long LOST_NANOS = 1_200 * ModelClock.NANOS_PER_MILLI;

	private static final long HEARTBEAT_NANOS = 500 * ModelClock.NANOS_PER_MILLI;

	private static final long RECONNECT_NANOS = 100 * ModelClock.NANOS_PER_MILLI;

	private static final long STEP_MILLIS = 10;

	private static final long MIN_DELAY_NANOS = 500_000;

	private static final long MAX_DELAY_NANOS = 2_000_000;

	private final LinkEnd first;

	private final LinkEnd second;

	private final ModelClock clock;

	private final SplittableRandom random;

	private final Side firstSide = new Side();

	private final Side secondSide = new Side();

	private BooleanSupplier wanted = () -> true;

	private boolean connected;

	private long connection;

	private long blockedUntilNanos;

	private long nextAttemptNanos;

	private ModelLink(LinkEnd first, LinkEnd second, ModelClock clock, SplittableRandom random) {
		this.first = first;
		this.second = second;
		this.clock = clock;
		this.random = random;
		step();
	}

	static ModelLink between(ModelEntry entry, ModelGuard guard, ModelClock clock, SplittableRandom random,
			RunChecker checker) {
		ModelLink link = new ModelLink(
				new LinkEnd(entry, (incarnation) -> entry.onGuardConnected(guard.id(), incarnation),
						(incarnation) -> entry.onGuardLost(guard.id(), incarnation),
						(incarnation, message) -> entry.onMessage(guard.id(), incarnation, message)),
				new LinkEnd(guard, (incarnation) -> guard.onEntryConnected(entry.id(), incarnation),
						(incarnation) -> guard.onEntryLost(entry.id(), incarnation),
						(incarnation, message) -> guard.onMessage(entry.id(), incarnation, message)),
				clock, random);
		link.wanted = () -> entry.isListed(guard.id());
		entry.addLink(guard.id(), (message) -> {
			if (message instanceof StopRun stop && !link.connected) {
				entry.log("FAULT stop request for " + stop.run() + " is dropped, no connection");
				checker.onStopDropped(guard.endpoint(), stop.run());
			}
			if (message instanceof HeldRuns held) {
				held.runs().forEach((run) -> entry.log("names " + run + " as held at " + guard.name()));
			}
			link.sendToSecond(message);
		}, link::onFirstKilled);
		guard.addLink(entry.id(), link::sendToFirst, link::onSecondKilled);
		return link;
	}

	static ModelLink between(ModelEntry first, ModelEntry second, ModelClock clock, SplittableRandom random) {
		ModelLink link = new ModelLink(end(first, second), end(second, first), clock, random);
		first.addPeer(second.id(), link::sendToSecond, link::onFirstKilled);
		second.addPeer(first.id(), link::sendToFirst, link::onSecondKilled);
		return link;
	}

	private static LinkEnd end(ModelEntry entry, ModelEntry peer) {
		return new LinkEnd(entry, (incarnation) -> entry.onEntryConnected(peer.id(), incarnation),
				(incarnation) -> entry.onEntryLost(peer.id(), incarnation),
				(incarnation, message) -> entry.onEntryMessage(peer.id(), incarnation, message));
	}

	boolean isConnected() {
		return this.connected;
	}

	/**
	 * Breaks the connection.
	 * @param millis time until a new one can be established, in milliseconds
	 */
	void reset(long millis) {
		this.first.process()
			.log("FAULT connection to " + this.second.process().name() + " breaks, back in " + millis + " ms");
		this.connected = false;
		this.blockedUntilNanos = this.clock.nanos() + millis * ModelClock.NANOS_PER_MILLI;
		this.nextAttemptNanos = this.blockedUntilNanos;
	}

	void silenceToSecond(long millis) {
		this.first.process().log("FAULT nothing reaches " + this.second.process().name() + " for " + millis + " ms");
		this.secondSide.silentUntilNanos = this.clock.nanos() + millis * ModelClock.NANOS_PER_MILLI;
	}

	void silenceToFirst(long millis) {
		this.second.process().log("FAULT nothing reaches " + this.first.process().name() + " for " + millis + " ms");
		this.firstSide.silentUntilNanos = this.clock.nanos() + millis * ModelClock.NANOS_PER_MILLI;
	}

	private void onFirstKilled() {
		this.connected = false;
		this.firstSide.reported = null;
	}

	private void onSecondKilled() {
		this.connected = false;
		this.secondSide.reported = null;
	}

	private void sendToSecond(Message message) {
		send(this.secondSide, this.second.process(),
				() -> this.second.onMessage().accept(this.secondSide.reported, message));
	}

	private void sendToFirst(Message message) {
		send(this.firstSide, this.first.process(),
				() -> this.first.onMessage().accept(this.firstSide.reported, message));
	}

	private void send(Side receiver, ModelProcess process, Runnable delivery) {
		if (!this.connected) {
			return;
		}
		long arrivalNanos = this.clock.nanos() + delayNanos();
		receiver.lastArrivalNanos = Math.max(receiver.lastArrivalNanos + 1, arrivalNanos);
		deliver(receiver, process, receiver.lastArrivalNanos, this.connection, delivery);
	}

	private void deliver(Side receiver, ModelProcess process, long atNanos, long sentOn, Runnable delivery) {
		this.clock.at(atNanos, () -> {
			if (!this.connected || sentOn != this.connection) {
				return;
			}
			if (this.clock.nanos() < receiver.silentUntilNanos) {
				receiver.lastArrivalNanos = Math.max(receiver.lastArrivalNanos + 1, receiver.silentUntilNanos);
				deliver(receiver, process, receiver.lastArrivalNanos, sentOn, delivery);
				return;
			}
			receiver.onReceived(process, this.clock.nanos());
			if (receiver.reported != null) {
				delivery.run();
			}
		});
	}

	private void step() {
		this.clock.afterMillis(STEP_MILLIS, this::step);
		long nowNanos = this.clock.nanos();
		step(this.firstSide, this.first, this.secondSide, this.second, nowNanos);
		step(this.secondSide, this.second, this.firstSide, this.first, nowNanos);
		boolean silent = nowNanos - this.firstSide.activityNanos >= SILENCE_NANOS;
		if ((!this.connected || silent) && nowNanos >= this.nextAttemptNanos && isServing(this.first.process())
				&& this.wanted.getAsBoolean()) {
			this.nextAttemptNanos = nowNanos + RECONNECT_NANOS;
			if (isServing(this.second.process()) && nowNanos >= this.firstSide.silentUntilNanos
					&& nowNanos >= this.secondSide.silentUntilNanos) {
				establish(nowNanos);
			}
		}
	}

	private static boolean isServing(ModelProcess process) {
		return process.isUp() && !process.isInputPaused();
	}

	private void step(Side side, LinkEnd end, Side peerSide, LinkEnd peer, long nowNanos) {
		if (!isServing(end.process())) {
			return;
		}
		// After a pause, either the timers or the received bytes are processed first.
		if (side.unreadInput && this.random.nextBoolean()) {
			side.read(nowNanos);
		}
		if (side.reported != null && nowNanos - side.activityNanos >= LOST_NANOS) {
			Incarnation lost = side.reported;
			side.reported = null;
			this.connected = false;
			end.onLost().accept(lost);
		}
		side.read(nowNanos);
		if (this.connected && nowNanos - side.heartbeatSentNanos >= HEARTBEAT_NANOS) {
			side.heartbeatSentNanos = nowNanos;
			send(peerSide, peer.process(), () -> {
			});
		}
	}

	private void establish(long nowNanos) {
		this.connected = true;
		this.connection++;
		long established = this.connection;
		this.firstSide.onConnecting(nowNanos);
		this.secondSide.onConnecting(nowNanos);
		long laterNanos = nowNanos + delayNanos();
		boolean firstEarlier = this.random.nextBoolean();
		this.firstSide.lastArrivalNanos = firstEarlier ? nowNanos : laterNanos;
		this.secondSide.lastArrivalNanos = firstEarlier ? laterNanos : nowNanos;
		this.clock.at(this.firstSide.lastArrivalNanos, () -> {
			if (this.connected && established == this.connection) {
				connect(this.firstSide, this.first, this.second);
			}
		});
		this.clock.at(this.secondSide.lastArrivalNanos, () -> {
			if (this.connected && established == this.connection) {
				connect(this.secondSide, this.second, this.first);
			}
		});
	}

	private static void connect(Side side, LinkEnd end, LinkEnd peer) {
		Incarnation incarnation = peer.process().incarnation();
		Incarnation previous = side.reported;
		if (previous != null && !previous.equals(incarnation)) {
			end.onLost().accept(previous);
		}
		side.reported = incarnation;
		end.onConnected().accept(incarnation);
	}

	private long delayNanos() {
		return this.random.nextLong(MIN_DELAY_NANOS, MAX_DELAY_NANOS);
	}

	/**
	 * State of the link at one of its processes.
	 */
	private static final class Side {

		/** The incarnation of the peer that was reported as connected; null if none. */
		private Incarnation reported;

		private long activityNanos;

		private long lastArrivalNanos;

		private long silentUntilNanos;

		private long heartbeatSentNanos;

		private boolean unreadInput;

		void onConnecting(long nowNanos) {
			this.activityNanos = nowNanos;
			this.unreadInput = false;
		}

		void onReceived(ModelProcess process, long nowNanos) {
			if (process.isInputPaused()) {
				this.unreadInput = true;
			}
			else {
				this.activityNanos = nowNanos;
			}
		}

		void read(long nowNanos) {
			if (this.unreadInput) {
				this.unreadInput = false;
				this.activityNanos = nowNanos;
			}
		}

	}

}
