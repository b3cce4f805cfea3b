package io.coriandermux.core.dispatch;

import java.util.Collection;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.notice.Notice;
import io.coriandermux.core.notice.NoticeKind;
import io.coriandermux.core.run.BatchId;

/**
 * Notices about the claims of an entry. Two entries exclude each other only if their
 * lists of guards agree, so the notices name them by number and digest. A claim that most
 * of its keepers have granted is not reported, because each batch has one.
 */
final class ClaimNotices {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Lists also change without an event, when a lost process is forgotten. */
	private static final long CHECK_INTERVAL_NANOS = 1_000 * NANOS_PER_MILLI;

	private final EntryId self;

	private final ClaimMembers<GuardId> guards;

	private final ClaimMembers<EntryId> entries;

	private final Consumer<Notice> notices;

	private String reported = "";

	private long checkedNanos;

	ClaimNotices(EntryId self, ClaimMembers<GuardId> guards, ClaimMembers<EntryId> entries, Consumer<Notice> notices) {
		this.self = self;
		this.guards = guards;
		this.entries = entries;
		this.notices = notices;
	}

	/**
	 * Reports a claim that was granted in an unusual way.
	 * @param batch the batch
	 * @param way how it was granted
	 * @param claim number of the claim and the time that it took
	 * @param keepers the guards that keep the claims of the batch
	 * @param free the guards that know of no other entry, with whether they can be sure
	 * @param freePeers the entries that don't have the batch, with whether they can be
	 * sure
	 */
	void onGranted(BatchId batch, String way, String claim, Collection<GuardId> keepers, Map<GuardId, Boolean> free,
			Map<EntryId, Boolean> freePeers) {
		String answers = keepers.stream()
			.map((keeper) -> keeper + " " + describeAnswer(free.get(keeper)))
			.collect(Collectors.joining(" "));
		send(NoticeKind.BATCH_CLAIMED, batch.toString(), way + ", " + claim + ", " + describeMembers() + ", keepers "
				+ answers + ", free at " + free.size() + " guards and " + freePeers.size() + " entries");
	}

	private static String describeAnswer(Boolean complete) {
		if (complete == null) {
			return "silent";
		}
		return complete ? "complete" : "incomplete";
	}

	/**
	 * Reports the lists of guards and entries if they have changed.
	 * @param nowNanos the current time on the monotonic clock
	 */
	void onMembersChanged(long nowNanos) {
		this.checkedNanos = nowNanos;
		String members = describeMembers();
		if (!members.equals(this.reported)) {
			this.reported = members;
			send(NoticeKind.CLAIM_MEMBERS_CHANGED, "claims", members);
		}
	}

	void tick(long nowNanos) {
		if (nowNanos - this.checkedNanos >= CHECK_INTERVAL_NANOS) {
			onMembersChanged(nowNanos);
		}
	}

	private String describeMembers() {
		Set<EntryId> known = this.entries.known();
		known.add(this.self);
		return describe(this.guards.known(), "guards") + ", " + describe(known, "entries");
	}

	// The digest does not depend on the order in which the processes became known.
	private static String describe(Collection<?> ids, String kind) {
		String sorted = ids.stream().map(Object::toString).sorted().collect(Collectors.joining(" "));
		return ids.size() + " " + kind + " (" + Integer.toHexString(sorted.hashCode()) + ")";
	}

	private void send(NoticeKind kind, String subject, String detail) {
		this.notices.accept(new Notice(kind, subject, detail));
	}

}
