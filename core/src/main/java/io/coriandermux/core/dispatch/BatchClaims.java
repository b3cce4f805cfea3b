package io.coriandermux.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.EntryIncarnation;
import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.BatchClaim;
import io.coriandermux.core.message.BatchHolder;
import io.coriandermux.core.message.ClaimAnswer;
import io.coriandermux.core.message.ClaimBatch;
import io.coriandermux.core.message.TakeOverAnswer;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.run.BatchId;

/**
 * Claims of the batches of this entry at guards. A batch starts only after a majority of
 * the guards that keep its claims have recorded this entry, so that another entry that
 * receives the batch learns of this one whatever becomes of the links between entries.
 */
final class BatchClaims {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/**
	 * A claim is kept for this long after the end of the caller's wait: a start order may
	 * be carried out 12 s late, and its lease lasts up to 1 s.
	 */
	private static final long KEEP_AFTER_MILLIS = 15_000;

	/**
	 * A start order that was not answered may be carried out 12 s later, and its lease
	 * lasts up to 1 s.
	 */
	private static final long LATE_START_END_NANOS = 14_000 * NANOS_PER_MILLI;

	/**
	 * A link that is reset is established again within this time. A guard that is away
	 * for longer is down or cut off, mostly for seconds.
	 */
	private static final long MAX_LINK_OUTAGE_NANOS = 500 * NANOS_PER_MILLI;

	/**
	 * An entry that has run for a shorter time may not know the claims that its former
	 * incarnation has made or granted.
	 */
	private static final long COMPLETE_AFTER_NANOS = 15_000 * NANOS_PER_MILLI;

	/** The guards answer within a few milliseconds, a loaded VM within some ten. */
	private static final long KEEPER_TIMEOUT_NANOS = 50 * NANOS_PER_MILLI;

	/**
	 * Time for which a majority waits for the other keepers. Two entries whose lists of
	 * guards differ may be granted a batch by majorities without a common guard, but
	 * mostly share a keeper. One that answers later stands still or is cut off.
	 */
	private static final long LAST_KEEPER_TIMEOUT_NANOS = 20 * NANOS_PER_MILLI;

	private static final long PEER_TIMEOUT_NANOS = 200 * NANOS_PER_MILLI;

	/**
	 * Ticks are up to 60 ms apart. After a longer standstill of this entry the answers
	 * that have arrived meanwhile may not have been read.
	 */
	private static final long STANDSTILL_NANOS = 100 * NANOS_PER_MILLI;

	private final EntryIncarnation self;

	private final DispatchChannels channels;

	private final ClaimListener listener;

	private final long startedNanos;

	private final ClaimMembers<GuardId> guards = new ClaimMembers<>();

	private final ClaimMembers<EntryId> peers = new ClaimMembers<>();

	private final GrantedClaims granted = new GrantedClaims();

	private final Map<BatchId, Claim> claims = new LinkedHashMap<>();

	private final ClaimNotices notices;

	private boolean peersKnown;

	private long lastNumber;

	private long tickedNanos;

	/**
	 * Creates an instance without guards and other entries.
	 * @param self this entry
	 * @param channels sends messages to guards and to other entries
	 * @param listener receives the results
	 * @param now the current time
	 */
	BatchClaims(EntryIncarnation self, DispatchChannels channels, ClaimListener listener, Moment now) {
		this.self = self;
		this.channels = channels;
		this.listener = listener;
		this.startedNanos = now.nanos();
		this.tickedNanos = now.nanos();
		this.notices = new ClaimNotices(self.entry(), this.guards, this.peers, channels.notices());
	}

	void onGuardsListed(Set<GuardId> listed, Moment now) {
		List<GuardId> usable = this.guards.connected();
		this.guards.onListed(listed, now.nanos());
		this.notices.onMembersChanged(now.nanos());
		this.guards.connected().stream().filter((guard) -> !usable.contains(guard)).forEach(this::onUsable);
		if (!this.guards.isEmpty()) {
			claimUnclaimed(now);
		}
		evaluateAll(now);
	}

	// The list of guards is not known yet when an entry starts.
	private void claimUnclaimed(Moment now) {
		for (Claim claim : new ArrayList<>(this.claims.values())) {
			if (claim.state == State.UNCLAIMED) {
				claim.keepers = ClaimKeepers.select(claim.batch, this.guards.known());
				ask(claim, now);
			}
		}
	}

	void onGuardConnected(GuardId guard) {
		this.guards.onConnected(guard);
		if (this.guards.isConnected(guard)) {
			onUsable(guard);
		}
	}

	private void onUsable(GuardId guard) {
		for (Claim claim : new ArrayList<>(this.claims.values())) {
			if (claim.state == State.TAKING_OVER || claim.takenOver) {
				claim.pending.add(guard);
				sendTakeOver(claim, guard);
			}
			else if (claim.state == State.CLAIMING_EVERYWHERE || claim.keepers.contains(guard)) {
				claim.free.remove(guard);
				ask(claim, guard);
			}
		}
	}

	void onGuardLost(GuardId guard, Moment now) {
		this.guards.onLost(guard, now.nanos());
		this.claims.values().forEach((claim) -> {
			claim.asked.remove(guard);
			claim.free.remove(guard);
			claim.pending.remove(guard);
		});
		evaluateAll(now);
	}

	void onEntriesListed(Set<EntryId> listed, Moment now) {
		this.peers.onListed(listed, now.nanos());
		this.peersKnown = true;
		this.notices.onMembersChanged(now.nanos());
	}

	// The announcement of an entry that has started may be read later than its link is
	// made, and the entry may already have batches.
	void onEntryConnected(EntryId entry) {
		this.peers.list(entry);
		this.peers.onConnected(entry);
		this.claims.values().stream().filter((claim) -> claim.isClaiming() && claim.peersAsked).forEach((claim) -> {
			claim.freePeers.remove(entry);
			ask(claim, entry);
		});
	}

	void onEntryLost(EntryId entry, Moment now) {
		this.peers.onLost(entry, now.nanos());
		this.claims.values().forEach((claim) -> claim.freePeers.remove(entry));
	}

	/**
	 * Answers the claim of another entry, which can't reach most of the guards that keep
	 * the claims of a batch.
	 * @param peer the entry
	 * @param message its claim
	 * @param now the current time
	 */
	void onClaim(EntryIncarnation peer, ClaimBatch message, Moment now) {
		BatchId batch = message.batch();
		Optional<BatchHolder> holder = Optional.ofNullable(this.claims.get(batch))
			.map((claim) -> new BatchHolder(new BatchClaim(this.self, claim.number), claim.ageMillis(now)))
			.or(() -> findGranted(batch, message.replaced(), now)
				.filter((other) -> !other.claim().entry().equals(peer)));
		boolean complete = isComplete(now);
		if (holder.isEmpty()) {
			boolean recorded = this.granted.grant(batch, new BatchClaim(peer, message.number()), message.keepMillis(),
					now.nanos());
			complete = complete && recorded;
		}
		this.channels.peers().send(peer.entry(), new ClaimAnswer(batch, message.number(), complete, holder));
	}

	private Optional<BatchHolder> findGranted(BatchId batch, Optional<BatchClaim> replaced, Moment now) {
		return this.granted.holder(batch, now.nanos()).filter((holder) -> !isReplaced(holder.claim(), replaced));
	}

	private static boolean isReplaced(BatchClaim claim, Optional<BatchClaim> replaced) {
		return replaced.filter((other) -> other.entry().equals(claim.entry()) && other.number() >= claim.number())
			.isPresent();
	}

	private boolean isComplete(Moment now) {
		return now.nanos() - this.startedNanos >= COMPLETE_AFTER_NANOS;
	}

	/**
	 * Returns whether batches start only after a claim.
	 * @return whether a guard is listed that knows claims
	 */
	boolean isInUse() {
		return !this.guards.isEmpty();
	}

	/**
	 * Claims a batch.
	 * @param batch the batch
	 * @param waitMillis time that its caller waits, in milliseconds
	 * @param replaced the claim of the entry that has released it, if any
	 * @param now the current time
	 */
	void begin(BatchId batch, long waitMillis, Optional<BatchClaim> replaced, Moment now) {
		if (isTakingOver(batch)) {
			Claim claim = this.claims.get(batch);
			claim.abandoned = false;
			// The guards keep the claim for the wait of this caller, too.
			this.guards.connected().forEach((guard) -> sendTakeOver(claim, guard));
			return;
		}
		Claim claim = new Claim(batch, nextNumber(now), waitMillis + KEEP_AFTER_MILLIS, replaced,
				ClaimKeepers.select(batch, this.guards.known()));
		claim.startedNanos = now.nanos();
		this.claims.put(batch, claim);
		Optional<BatchHolder> holder = findGranted(batch, replaced, now);
		if (holder.isPresent()) {
			this.listener.onHeld(batch, holder.get(), now);
			return;
		}
		if (this.guards.isEmpty()) {
			claim.state = State.UNCLAIMED;
			report(claim, "no guard is listed", now);
			this.listener.onGranted(batch);
			return;
		}
		ask(claim, now);
	}

	private void ask(Claim claim, Moment now) {
		claim.state = State.CLAIMING;
		claim.askedNanos = now.nanos();
		// The entry that has released the batch may have taken it over at all guards.
		List<GuardId> asked = claim.replaced.isPresent() ? this.guards.connected() : claim.keepers;
		asked.stream().filter(this.guards::isConnected).forEach((guard) -> ask(claim, guard));
		evaluate(claim, now);
	}

	/**
	 * Takes a batch over from an entry that can't be asked.
	 * @param batch the batch, which was claimed
	 * @param now the current time
	 */
	void takeOver(BatchId batch, Moment now) {
		Claim claim = this.claims.get(batch);
		claim.number = nextNumber(now);
		claim.state = State.TAKING_OVER;
		claim.takeOverNanos = now.nanos();
		this.guards.connected().forEach((guard) -> {
			claim.pending.add(guard);
			sendTakeOver(claim, guard);
		});
		evaluate(claim, now);
	}

	// Of two entries that take a batch over, the one that does so later is to win, so the
	// numbers follow the wall clock. No guarantee depends on that.
	private long nextNumber(Moment now) {
		this.lastNumber = Math.max(this.lastNumber + 1, now.epochMillis());
		return this.lastNumber;
	}

	/**
	 * Returns whether runs of a batch may start.
	 * @param batch the batch
	 * @return whether the claim of this entry is in force
	 */
	boolean isGranted(BatchId batch) {
		Claim claim = this.claims.get(batch);
		return claim != null
				&& (claim.state == State.GRANTED || (claim.state == State.UNCLAIMED && this.guards.isEmpty()));
	}

	/**
	 * Returns whether a take-over of a batch has not ended. It goes on when the batch has
	 * been answered: runs of the other entry may still be active.
	 * @param batch the batch
	 * @return whether no entry may start the batch
	 */
	boolean isTakingOver(BatchId batch) {
		Claim claim = this.claims.get(batch);
		return claim != null && claim.state == State.TAKING_OVER;
	}

	/**
	 * Records that a batch has ended at this entry.
	 * @param batch the batch
	 */
	void onEnded(BatchId batch) {
		if (isTakingOver(batch)) {
			this.claims.get(batch).abandoned = true;
		}
		else {
			this.claims.remove(batch);
		}
	}

	void onAnswer(GuardId guard, ClaimAnswer answer, Moment now) {
		boolean complete = answer.complete() && !this.guards.hasJustJoined(guard, now.nanos());
		this.guards.recordCompleteness(guard, complete);
		Claim claim = this.claims.get(answer.batch());
		if (claim == null || claim.number != answer.number() || !claim.isClaiming() || !claim.asked.contains(guard)) {
			return;
		}
		if (answer.holder().isPresent()) {
			this.listener.onHeld(claim.batch, answer.holder().get(), now);
			return;
		}
		claim.free.put(guard, complete);
		evaluate(claim, now);
	}

	/**
	 * Processes the answer of another entry to a claim.
	 * @param peer the entry
	 * @param answer its answer
	 * @param now the current time
	 */
	void onPeerAnswer(EntryId peer, ClaimAnswer answer, Moment now) {
		this.peers.recordCompleteness(peer, answer.complete());
		Claim claim = this.claims.get(answer.batch());
		if (claim == null || claim.number != answer.number() || !claim.isClaiming()) {
			return;
		}
		if (answer.holder().isPresent()) {
			this.listener.onHeld(claim.batch, answer.holder().get(), now);
			return;
		}
		claim.freePeers.put(peer, answer.complete());
		evaluate(claim, now);
	}

	void onAnswer(GuardId guard, TakeOverAnswer answer, Moment now) {
		Claim claim = this.claims.get(answer.batch());
		if (claim == null || claim.number != answer.number() || !claim.pending.contains(guard)) {
			return;
		}
		if (!answer.granted()) {
			this.claims.remove(claim.batch);
			this.listener.onOvertaken(claim.batch, guard, now);
			return;
		}
		claim.pending.remove(guard);
		evaluate(claim, now);
	}

	void tick(Moment now) {
		this.guards.expire(now.nanos());
		this.peers.expire(now.nanos());
		this.granted.expire(now.nanos());
		if (hasStoodStill(now)) {
			this.claims.values().forEach((claim) -> claim.askedNanos = now.nanos());
		}
		this.tickedNanos = now.nanos();
		this.notices.tick(now.nanos());
		evaluateAll(now);
	}

	private void evaluateAll(Moment now) {
		for (Claim claim : new ArrayList<>(this.claims.values())) {
			if (claim.state != State.GRANTED) {
				evaluate(claim, now);
			}
		}
	}

	private void evaluate(Claim claim, Moment now) {
		if (claim.state == State.CLAIMING && !claim.hasMajority() && !canHaveMajority(claim)) {
			claim.state = State.CLAIMING_EVERYWHERE;
			this.guards.connected()
				.stream()
				.filter((guard) -> !claim.asked.contains(guard))
				.forEach((guard) -> ask(claim, guard));
		}
		if (needsPeers(claim, now)) {
			claim.peersAsked = true;
			claim.peersAskedNanos = now.nanos();
			this.peers.connected().forEach((entry) -> ask(claim, entry));
		}
		if (isDecided(claim, now)) {
			claim.takenOver = claim.state == State.TAKING_OVER;
			if (claim.abandoned) {
				this.claims.remove(claim.batch);
				this.listener.onTakeOverEnded(claim.batch, now);
				return;
			}
			reportUnusual(claim, now);
			grant(claim);
		}
		else if (isUnreachable(claim, now)) {
			this.listener.onUnreachable(claim.batch, now);
		}
	}

	private void reportUnusual(Claim claim, Moment now) {
		if (claim.takenOver) {
			report(claim, "after a take-over", now);
		}
		else if (!isGrantedByKeepers(claim, now)) {
			report(claim, isFreeEverywhere(claim) ? "by all guards" : "by the other entries", now);
		}
		else if (claim.replaced.isPresent()) {
			report(claim, "after a release", now);
		}
	}

	private void report(Claim claim, String way, Moment now) {
		this.notices.onGranted(claim.batch, way, "number " + claim.number + " after " + claim.ageMillis(now) + " ms",
				claim.keepers, claim.free, claim.freePeers);
	}

	private void grant(Claim claim) {
		claim.state = State.GRANTED;
		this.granted.remove(claim.batch);
		this.listener.onGranted(claim.batch);
	}

	private boolean canHaveMajority(Claim claim) {
		return claim.keepers.stream().filter(this.guards::canAnswer).count() >= claim.majority();
	}

	private boolean isDecided(Claim claim, Moment now) {
		return switch (claim.state) {
			case CLAIMING -> isGrantedByKeepers(claim, now) || isGrantedByPeers(claim, now);
			case CLAIMING_EVERYWHERE ->
				isGrantedByKeepers(claim, now) || isFreeEverywhere(claim) || isGrantedByPeers(claim, now);
			case TAKING_OVER ->
				claim.pending.isEmpty() && !this.guards.connected().isEmpty() && !mayRunAtAbsentGuard(claim, now);
			case UNCLAIMED, GRANTED -> false;
		};
	}

	// A guard that is still announced is alive. However long it has had no link to this
	// entry, the other entry may have started a run there just now.
	private boolean mayRunAtAbsentGuard(Claim claim, Moment now) {
		return this.guards.isAnyAbsentFor(LATE_START_END_NANOS, now.nanos())
				|| (this.guards.isAnyListedAbsent() && now.nanos() - claim.takeOverNanos < LATE_START_END_NANOS);
	}

	// The end that the other entry has announced may be that of an earlier claim, so its
	// claim is replaced only if no guard has runs of it.
	private boolean isGrantedByKeepers(Claim claim, Moment now) {
		return claim.hasMajority() && (claim.replaced.isPresent() ? isAnsweredEverywhere(claim)
				: isAnsweredByKeepers(claim) || isLastKeeperOverdue(claim, now));
	}

	private boolean isLastKeeperOverdue(Claim claim, Moment now) {
		return !hasStoodStill(now) && now.nanos() - claim.askedNanos >= LAST_KEEPER_TIMEOUT_NANOS;
	}

	private boolean hasStoodStill(Moment now) {
		return now.nanos() - this.tickedNanos >= STANDSTILL_NANOS;
	}

	private boolean isAnsweredByKeepers(Claim claim) {
		return claim.keepers.stream().filter(this.guards::isConnected).allMatch(claim.free::containsKey);
	}

	private boolean isAnsweredEverywhere(Claim claim) {
		return claim.free.keySet().containsAll(this.guards.connected());
	}

	// Keepers that may have forgotten claims count only together with all other guards,
	// which know the runs. Unreachable ones never do: this entry may be cut off from them
	// together with one that has the batch.
	private boolean isFreeEverywhere(Claim claim) {
		return claim.keepers.stream().filter(this.guards::isConnected).count() >= claim.majority()
				&& isAnsweredEverywhere(claim);
	}

	private boolean needsPeers(Claim claim, Moment now) {
		return claim.isClaiming() && !claim.peersAsked && this.peersKnown
				&& (!canHaveMajority(claim) || now.nanos() - claim.startedNanos >= KEEPER_TIMEOUT_NANOS);
	}

	// An entry that has run for long enough knows whether it has the batch, and an
	// earlier
	// incarnation of it has no runs any more.
	private boolean isGrantedByPeers(Claim claim, Moment now) {
		return claim.peersAsked && isComplete(now)
				&& this.peers.known().stream().allMatch((entry) -> claim.freePeers.getOrDefault(entry, false));
	}

	private boolean canPeersGrant(Claim claim, Moment now) {
		return claim.peersAsked && isComplete(now) && now.nanos() - claim.peersAskedNanos < PEER_TIMEOUT_NANOS
				&& this.peers.known().stream().allMatch(this.peers::canAnswer);
	}

	private boolean isUnreachable(Claim claim, Moment now) {
		if (canPeersGrant(claim, now)) {
			return false;
		}
		long reachable = claim.keepers.stream()
			.filter((guard) -> !this.guards.isAbsentFor(guard, MAX_LINK_OUTAGE_NANOS, now.nanos()))
			.count();
		return claim.isClaiming() && reachable < claim.majority();
	}

	private void ask(Claim claim, GuardId guard) {
		claim.asked.add(guard);
		this.channels.guards().send(guard, new ClaimBatch(claim.batch, claim.number, claim.keepMillis, claim.replaced));
	}

	private void ask(Claim claim, EntryId entry) {
		this.channels.peers().send(entry, new ClaimBatch(claim.batch, claim.number, claim.keepMillis, claim.replaced));
	}

	private void sendTakeOver(Claim claim, GuardId guard) {
		this.channels.guards().send(guard, new TakeOverBatch(claim.batch, claim.number, claim.keepMillis));
	}

	/** State of a claim. */
	private enum State {

		/** No guard is listed that knows claims, so runs may start while none is. */
		UNCLAIMED,

		/** The guards that keep the claims of the batch are asked. */
		CLAIMING,

		/** Too few of them can answer, so all guards are asked. */
		CLAIMING_EVERYWHERE,

		/** All guards end the runs of other entries. */
		TAKING_OVER,

		/** Runs may start. */
		GRANTED

	}

	private static final class Claim {

		private final BatchId batch;

		private final long keepMillis;

		private final Optional<BatchClaim> replaced;

		private List<GuardId> keepers;

		private final Set<GuardId> asked = new LinkedHashSet<>();

		/** The guards that know of no other entry, with whether they can be sure. */
		private final Map<GuardId, Boolean> free = new LinkedHashMap<>();

		/** The other entries that don't have the batch, with whether they can be sure. */
		private final Map<EntryId, Boolean> freePeers = new LinkedHashMap<>();

		/** The guards that have not answered the take-over. */
		private final Set<GuardId> pending = new LinkedHashSet<>();

		private State state = State.CLAIMING;

		private long number;

		private long startedNanos;

		private long askedNanos;

		private long takeOverNanos;

		private boolean peersAsked;

		private long peersAskedNanos;

		private boolean takenOver;

		/** Whether the batch has ended at this entry before it was taken over. */
		private boolean abandoned;

		Claim(BatchId batch, long number, long keepMillis, Optional<BatchClaim> replaced, List<GuardId> keepers) {
			this.batch = batch;
			this.number = number;
			this.keepMillis = keepMillis;
			this.replaced = replaced;
			this.keepers = keepers;
		}

		long ageMillis(Moment now) {
			return (now.nanos() - this.startedNanos) / NANOS_PER_MILLI;
		}

		boolean isClaiming() {
			return this.state == State.CLAIMING || this.state == State.CLAIMING_EVERYWHERE;
		}

		int majority() {
			return this.keepers.size() / 2 + 1;
		}

		boolean hasMajority() {
			return this.keepers.stream().filter((guard) -> this.free.getOrDefault(guard, false)).count() >= majority();
		}

	}

}
