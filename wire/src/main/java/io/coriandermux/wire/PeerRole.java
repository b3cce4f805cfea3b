package io.coriandermux.wire;

/**
 * Role of a process in an installation.
 */
public enum PeerRole {

	/** Accepts jobs from callers and places their tasks. */
	ENTRY,

	/** Starts tasks at an endpoint. */
	GUARD

}
