package io.coriandermux.daemon.run;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.function.Supplier;

import io.coriandermux.core.id.Incarnation;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.settings.ProcessSettings;
import io.coriandermux.store.StoreClient;
import io.coriandermux.store.StoreException;
import io.coriandermux.version.ProgramVersion;
import io.coriandermux.wire.HeartbeatRevisions;
import io.coriandermux.wire.LinkContext;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.LinkListener;
import io.coriandermux.wire.LinkSettings;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import io.coriandermux.wire.SharedSecret;
import io.coriandermux.wire.TimeSource;

/**
 * Identity, clock, log, metrics and other objects that the parts of a process share.
 *
 * @param settings settings that all processes have
 * @param incarnation the incarnation, which is the wall clock at the start in
 * milliseconds, so that a restarted process has a higher one
 * @param time the clock of the process
 * @param log its log
 * @param metrics its metrics
 * @param health availability of the store
 */
public record ProcessContext(ProcessSettings settings, Incarnation incarnation, TimeSource time, EventLog log,
		ProcessMetrics metrics, StoreHealth health) {

	private static final Duration STORE_CALL_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * Creates the context of a process, with the current time as its incarnation.
	 * @param settings settings that all processes have
	 * @param time the clock of the process
	 * @return the context
	 */
	public static ProcessContext create(ProcessSettings settings, TimeSource time) {
		EventLog log = new EventLog(settings.id(), time);
		ProcessMetrics metrics = new ProcessMetrics();
		metrics.registerText("version", () -> ProgramVersion.current().toString());
		return new ProcessContext(settings, new Incarnation(time.now().epochMillis()), time, log, metrics,
				new StoreHealth(log));
	}

	/**
	 * Creates a client of the store.
	 * @return the client
	 * @throws StoreException if the client cannot start
	 */
	public StoreClient createStoreClient() throws StoreException {
		return new StoreClient(this.settings.stores(), STORE_CALL_TIMEOUT);
	}

	/**
	 * Binds the port for links.
	 * @param role role of this process
	 * @param revisions supplies the revisions to send in heartbeats
	 * @param listener receives messages and events
	 * @return the links, not started
	 * @throws IOException if the port cannot be bound
	 */
	public LinkEventLoop bindLinks(PeerRole role, Supplier<HeartbeatRevisions> revisions, LinkListener listener)
			throws IOException {
		return bindLinks(role, LinkSettings.DEFAULTS, revisions, listener);
	}

	/**
	 * Binds the port for links.
	 * @param role role of this process
	 * @param intervals intervals and limits; the limit on connections is taken from the
	 * settings of the process
	 * @param revisions supplies the revisions to send in heartbeats
	 * @param listener receives messages and events
	 * @return the links, not started
	 * @throws IOException if the port cannot be bound
	 */
	public LinkEventLoop bindLinks(PeerRole role, LinkSettings intervals, Supplier<HeartbeatRevisions> revisions,
			LinkListener listener) throws IOException {
		PeerIdentity self = new PeerIdentity(new PeerName(role, this.settings.id()), this.incarnation);
		LinkSettings links = new LinkSettings(intervals.heartbeatIntervalNanos(), intervals.silenceTimeoutNanos(),
				intervals.handshakeTimeoutNanos(), intervals.reconnectIntervalNanos(), this.settings.connections(),
				intervals.maxUnsentBytes(), intervals.heartbeatOnlyIfIdle());
		LinkContext context = new LinkContext(self, new SharedSecret(this.settings.secret()), links, this.time,
				new SecureRandom(), revisions);
		return new LinkEventLoop(context, new PeerAddress(this.settings.address(), this.settings.peerPort()), listener);
	}

}
