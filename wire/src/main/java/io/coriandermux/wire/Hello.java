package io.coriandermux.wire;

import java.io.IOException;

import io.coriandermux.core.id.Incarnation;
import org.msgpack.core.MessagePackException;

/**
 * Frame of the handshake. The initiator sends its identity and nonce, the acceptor
 * responds with its own identity, nonce and proof, and the initiator sends its proof. A
 * proof is a MAC over both nonces and the side and identity of its sender.
 *
 * @param identity identity of the sender
 * @param nonce random bytes of the sender
 * @param proof proof that the sender has the shared secret, empty in the first frame
 */
record Hello(PeerIdentity identity, byte[] nonce, byte[] proof) {

	/** Size of a nonce in bytes. */
	static final int NONCE_BYTES = 32;

	private static final int HANDSHAKE_TYPE = 0;

	private static final int FIELD_COUNT = 7;

	private static final int PROOF_BYTES = 32;

	byte[] encode() throws CodecException {
		try {
			FieldWriter out = new FieldWriter();
			out.arrayHeader(FIELD_COUNT);
			out.number(MessageCodec.VERSION);
			out.number(HANDSHAKE_TYPE);
			out.number(this.identity.name().role().ordinal());
			out.name(this.identity.name().id());
			out.number(this.identity.incarnation().value());
			out.bytes(this.nonce, NONCE_BYTES);
			out.bytes(this.proof, PROOF_BYTES);
			return out.toByteArray();
		}
		catch (IOException ex) {
			throw new CodecException("the handshake cannot be encoded", ex);
		}
	}

	static Hello decode(byte[] array, int offset, int length) throws CodecException {
		try {
			FieldReader in = new FieldReader(array, offset, length);
			in.arrayHeader(FIELD_COUNT, "a handshake");
			int version = in.integer();
			if (version != MessageCodec.VERSION) {
				throw new CodecException("protocol version " + version + " is not " + MessageCodec.VERSION);
			}
			if (in.integer() != HANDSHAKE_TYPE) {
				throw new CodecException("the frame is not a handshake");
			}
			PeerRole role = in.enumConstant(PeerRole.values());
			PeerIdentity identity = new PeerIdentity(new PeerName(role, in.name()), new Incarnation(in.number()));
			Hello hello = new Hello(identity, in.bytes(NONCE_BYTES), in.bytes(PROOF_BYTES));
			in.expectEnd();
			if (hello.nonce.length != NONCE_BYTES) {
				throw new CodecException("unexpected nonce length of " + hello.nonce.length + " bytes");
			}
			return hello;
		}
		catch (IOException | MessagePackException ex) {
			throw new CodecException("malformed handshake: " + ex.getMessage(), ex);
		}
	}

}
