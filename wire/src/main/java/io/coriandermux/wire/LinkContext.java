package io.coriandermux.wire;

import java.security.SecureRandom;
import java.util.function.Supplier;

/**
 * Configuration and dependencies of the links of a process.
 *
 * @param self identity of the process
 * @param secret secret that authenticates the processes
 * @param settings intervals and limits
 * @param time the clock of the process
 * @param random source of the nonces
 * @param revisions supplies the revisions to report in heartbeats
 */
public record LinkContext(PeerIdentity self, SharedSecret secret, LinkSettings settings, TimeSource time,
		SecureRandom random, Supplier<HeartbeatRevisions> revisions) {

	byte[] nonce() {
		byte[] nonce = new byte[Hello.NONCE_BYTES];
		this.random.nextBytes(nonce);
		return nonce;
	}

}
