package io.coriandermux.wire;

/**
 * Size limits of messages and their fields, checked by both the sender and the receiver.
 */
final class WireLimits {

	/** Maximum size of a frame in bytes, without the length field. */
	static final int FRAME_BYTES = 4 * 1024 * 1024;

	/**
	 * Maximum size of a frame in bytes before the peer is authenticated. A handshake
	 * frame has fewer than 512 bytes.
	 */
	static final int HANDSHAKE_FRAME_BYTES = 1024;

	/** Maximum size of a name or id in bytes of UTF-8. */
	static final int NAME_BYTES = 512;

	/** Maximum size of the path of a task in bytes of UTF-8. */
	static final int PATH_BYTES = 4096;

	/** Maximum size of a reason in bytes of UTF-8. */
	static final int REASON_BYTES = 16 * 1024;

	/** Maximum size of the payload or answer of a task in bytes. */
	static final int BODY_BYTES = 16 * 1024;

	/**
	 * Maximum size of a configuration document in bytes. The store accepts values of up
	 * to 1 MB.
	 */
	static final int DOCUMENT_BYTES = 1024 * 1024;

	/** Maximum number of tasks of a job. */
	static final int TASKS = 150;

	/** Maximum number of elements of any other list. */
	static final int ELEMENTS = 65_536;

	/**
	 * Largest amount of a resource. The sum of a thousand such amounts fits into 64 bits.
	 */
	static final long AMOUNT = 1L << 50;

	private WireLimits() {
	}

}
