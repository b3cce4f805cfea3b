package io.coriandermux.core.reply;

import java.util.Optional;

import io.coriandermux.core.id.EntryId;

/**
 * The receiver of a reply: a caller of this process, or an entry that forwarded a
 * caller's request.
 *
 * @param peer the entry that forwarded the request, or empty for a caller of this process
 * @param number reference of the request of a caller, or correlation number at the peer
 */
public record Requester(Optional<EntryId> peer, long number) {

	/**
	 * Creates the requester for a caller of this process.
	 * @param reference the reference that identifies the request
	 * @return the requester
	 */
	public static Requester caller(long reference) {
		return new Requester(Optional.empty(), reference);
	}

	/**
	 * Creates the requester for an entry that forwarded a request.
	 * @param peer the entry
	 * @param correlation the number that identifies the request at that entry
	 * @return the requester
	 */
	public static Requester peer(EntryId peer, long correlation) {
		return new Requester(Optional.of(peer), correlation);
	}

}
