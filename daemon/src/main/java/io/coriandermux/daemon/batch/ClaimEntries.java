package io.coriandermux.daemon.batch;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * The other entries, which are asked about a batch if most of the guards that keep its
 * claims don't answer. An entry of the previous version closes the link on such a
 * message, so it is listed but not asked, and its missing answer counts. Used by the
 * decision thread only.
 */
final class ClaimEntries {

	/** The first protocol with claims between entries. */
	private static final int MIN_PROTOCOL = 3;

	private final PeerName self;

	private final Set<PeerName> announced = new LinkedHashSet<>();

	private final Set<PeerName> knowing = new LinkedHashSet<>();

	/**
	 * Creates an instance without entries.
	 * @param self this entry
	 */
	ClaimEntries(PeerName self) {
		this.self = self;
	}

	/**
	 * Applies the announcements.
	 * @param members the announced processes
	 */
	void onMembers(Collection<Member> members) {
		this.announced.clear();
		members.stream().filter((member) -> member.name().role() == PeerRole.ENTRY).forEach((member) -> {
			this.announced.add(member.name());
			if (member.protocol() >= MIN_PROTOCOL) {
				this.knowing.add(member.name());
			}
			else {
				this.knowing.remove(member.name());
			}
		});
	}

	/**
	 * Returns the other entries.
	 * @param connected the connected entries, whose announcements may have expired while
	 * the store was unavailable
	 * @return the announced and the connected ones
	 */
	Set<EntryId> listed(Collection<PeerName> connected) {
		Set<EntryId> listed = new LinkedHashSet<>();
		this.announced.forEach((name) -> listed.add(new EntryId(name.id())));
		connected.forEach((name) -> listed.add(new EntryId(name.id())));
		listed.remove(new EntryId(this.self.id()));
		return listed;
	}

	boolean knowsClaims(PeerName entry) {
		return this.knowing.contains(entry);
	}

}
