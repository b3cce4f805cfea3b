package io.coriandermux.wire;

import java.io.IOException;
import java.util.Optional;

/**
 * Mutual authentication of both ends of a new connection by the shared secret. Each proof
 * covers the nonces of both sides, which prevents replay of a recorded handshake, and the
 * side of its sender, which prevents reflection of a proof to its sender.
 */
final class Handshake {

	private static final byte[] EMPTY_PROOF = {};

	private static final int INITIATOR = 1;

	private static final int ACCEPTOR = 2;

	private final SharedSecret secret;

	private final PeerIdentity self;

	private final byte[] nonce;

	private final boolean initiator;

	private Hello peer;

	private boolean complete;

	Handshake(SharedSecret secret, PeerIdentity self, byte[] nonce, boolean initiator) {
		this.secret = secret;
		this.self = self;
		this.nonce = nonce;
		this.initiator = initiator;
	}

	byte[] firstFrame() throws CodecException {
		return new Hello(this.self, this.nonce, EMPTY_PROOF).encode();
	}

	/**
	 * Processes a handshake frame of the peer.
	 * @param array array that holds the frame
	 * @param offset index of its first byte
	 * @param length number of its bytes
	 * @return the frame to send in response, if any
	 * @throws CodecException if the frame is malformed or its proof is wrong
	 */
	Optional<byte[]> receive(byte[] array, int offset, int length) throws CodecException {
		Hello hello = Hello.decode(array, offset, length);
		if (this.initiator) {
			this.peer = hello;
			verifyProof(ACCEPTOR, hello);
			this.complete = true;
			return Optional.of(new Hello(this.self, this.nonce, computeProof(INITIATOR)).encode());
		}
		if (this.peer == null) {
			this.peer = hello;
			return Optional.of(new Hello(this.self, this.nonce, computeProof(ACCEPTOR)).encode());
		}
		if (!hello.identity().equals(this.peer.identity())) {
			throw new CodecException("the peer changed its identity during the handshake");
		}
		verifyProof(INITIATOR, hello);
		this.complete = true;
		return Optional.empty();
	}

	boolean isComplete() {
		return this.complete;
	}

	PeerIdentity peer() {
		return this.peer.identity();
	}

	private void verifyProof(int side, Hello hello) throws CodecException {
		if (!this.secret.isValidMac(proofData(side, this.peer.identity()), hello.proof())) {
			throw new CodecException("authentication failed: the proof of the shared secret is wrong");
		}
	}

	private byte[] computeProof(int side) throws CodecException {
		return this.secret.computeMac(proofData(side, this.self));
	}

	private byte[] proofData(int side, PeerIdentity prover) throws CodecException {
		try {
			FieldWriter out = new FieldWriter();
			out.number(side);
			out.bytes(this.initiator ? this.nonce : this.peer.nonce(), Hello.NONCE_BYTES);
			out.bytes(this.initiator ? this.peer.nonce() : this.nonce, Hello.NONCE_BYTES);
			out.number(prover.name().role().ordinal());
			out.name(prover.name().id());
			out.number(prover.incarnation().value());
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new CodecException("the proof cannot be encoded", ex);
		}
	}

}
