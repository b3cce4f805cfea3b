package io.coriandermux.wire;

import java.util.Arrays;

import io.coriandermux.core.id.Incarnation;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against a link to a process that does not have the shared secret or that replays
 * a recorded handshake.
 */
class HandshakeTests {

	private static final PeerIdentity ENTRY = new PeerIdentity(new PeerName(PeerRole.ENTRY, "e1"), new Incarnation(1));

	private static final PeerIdentity GUARD = new PeerIdentity(new PeerName(PeerRole.GUARD, "g1"), new Incarnation(2));

	@Example
	void bothSidesReceiveTheIdentityOfTheOther() throws CodecException {
		Handshake initiator = handshake("secret", ENTRY, 1, true);
		Handshake acceptor = handshake("secret", GUARD, 2, false);
		byte[] proof = receive(initiator, receive(acceptor, initiator.firstFrame()));
		assertThat(acceptor.isComplete()).isFalse();
		acceptor.receive(proof, 0, proof.length);
		assertThat(initiator.isComplete() && acceptor.isComplete()).isTrue();
		assertThat(initiator.peer()).isEqualTo(GUARD);
		assertThat(acceptor.peer()).isEqualTo(ENTRY);
	}

	@Example
	void bothSidesRejectAnotherSecret() throws CodecException {
		Handshake initiator = handshake("secret", ENTRY, 1, true);
		byte[] response = receive(handshake("other", GUARD, 2, false), initiator.firstFrame());
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> receive(initiator, response));
		Handshake acceptor = handshake("secret", GUARD, 2, false);
		byte[] first = handshake("other", ENTRY, 1, true).firstFrame();
		receive(acceptor, first);
		byte[] forged = new Hello(ENTRY, nonce(1), new byte[32]).encode();
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> receive(acceptor, forged));
	}

	@Example
	void rejectsAReplayedHandshake() throws CodecException {
		Handshake initiator = handshake("secret", ENTRY, 1, true);
		byte[] first = initiator.firstFrame();
		byte[] recorded = receive(initiator, receive(handshake("secret", GUARD, 2, false), first));
		Handshake secondAcceptor = handshake("secret", GUARD, 3, false);
		receive(secondAcceptor, first);
		assertThatExceptionOfType(CodecException.class).isThrownBy(() -> receive(secondAcceptor, recorded));
	}

	private static byte[] receive(Handshake side, byte[] frame) throws CodecException {
		return side.receive(frame, 0, frame.length).orElseThrow();
	}

	private static Handshake handshake(String secret, PeerIdentity self, int nonce, boolean initiator) {
		return new Handshake(new SharedSecret(secret), self, nonce(nonce), initiator);
	}

	private static byte[] nonce(int value) {
		byte[] bytes = new byte[Hello.NONCE_BYTES];
		Arrays.fill(bytes, (byte) value);
		return bytes;
	}

}
