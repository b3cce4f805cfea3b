package io.coriandermux.daemon.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.coriandermux.core.id.GuardId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.TakeOverBatch;
import io.coriandermux.core.run.BatchId;
import io.coriandermux.wire.PeerAddress;
import io.coriandermux.wire.PeerIdentity;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import net.jqwik.api.Example;
import net.jqwik.api.Tag;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against messages that a guard of the previous version does not know: it would
 * close the link during a rolling restart. Guards against entries that select different
 * guards for the same batch, too: neither would learn of the claim of the other.
 */
class ClaimPeersTests {

	private static final PeerName GUARD = new PeerName(PeerRole.GUARD, "g1");

	private static final GuardId GUARD_ID = new GuardId("g1");

	private static final PeerIdentity FORMER = new PeerIdentity(GUARD, new Incarnation(5));

	private static final PeerIdentity NEXT = new PeerIdentity(GUARD, new Incarnation(6));

	private static final Message CLAIM = new TakeOverBatch(new BatchId("b1"), 1, 1000);

	private static final Message NEXT_CLAIM = new TakeOverBatch(new BatchId("b1"), 2, 1000);

	private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private final List<Message> sent = new ArrayList<>();

	private final List<Message> dropped = new ArrayList<>();

	private final List<Set<GuardId>> lists = new ArrayList<>();

	private final ClaimPeers guards = new ClaimPeers((guard, message) -> this.sent.add(message),
			(guard, message) -> this.dropped.add(message), this.lists::add);

	@Example
	void listsTheGuardsOfThisVersionAfterEachChange() {
		Member other = member(new PeerIdentity(new PeerName(PeerRole.GUARD, "g2"), new Incarnation(1)), 3);
		Member entry = member(new PeerIdentity(new PeerName(PeerRole.ENTRY, "e1"), new Incarnation(1)), 3);
		this.guards.onMembers(List.of(member(FORMER, 2), entry));
		assertThat(this.lists).isEmpty();
		this.guards.onMembers(List.of(member(FORMER, 2), other));
		this.guards.onMembers(List.of(member(FORMER, 2), other));
		this.guards.onMembers(List.of(member(NEXT, 4), other));
		assertThat(this.lists).containsExactly(Set.of(new GuardId("g2")), Set.of(GUARD_ID, new GuardId("g2")));
	}

	@Example
	void sendsToAGuardThatHasAnnouncedItselfBeforeItsLink() {
		this.guards.onMembers(List.of(member(NEXT, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.send(GUARD, CLAIM);
		assertThat(this.sent).containsExactly(CLAIM);
	}

	@Example
	void holdsMessagesBackUntilTheNewIncarnationHasAnnouncedItself() {
		this.guards.onMembers(List.of(member(FORMER, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.send(GUARD, CLAIM);
		this.guards.send(GUARD, NEXT_CLAIM);
		assertThat(this.sent).isEmpty();
		this.guards.onMembers(List.of(member(NEXT, 3)));
		assertThat(this.sent).containsExactly(CLAIM, NEXT_CLAIM);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID));
	}

	@Example
	void sendsNothingToAGuardOfThePreviousVersion() {
		this.guards.onMembers(List.of(member(FORMER, 2)));
		this.guards.onConnected(FORMER, 0);
		this.guards.send(GUARD, CLAIM);
		this.guards.tick(10 * WAIT_NANOS);
		this.guards.send(GUARD, NEXT_CLAIM);
		assertThat(this.sent).isEmpty();
		assertThat(this.dropped).containsExactly(CLAIM, NEXT_CLAIM);
		assertThat(this.lists).isEmpty();
	}

	@Example
	void dropsTheHeldMessagesOfAGuardThatWasReplacedByThePreviousVersion() {
		this.guards.onMembers(List.of(member(FORMER, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.send(GUARD, CLAIM);
		this.guards.onMembers(List.of(member(NEXT, 2)));
		this.guards.tick(10 * WAIT_NANOS);
		assertThat(this.sent).isEmpty();
		assertThat(this.dropped).containsExactly(CLAIM);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID), Set.of());
	}

	@Example
	void sendsNothingToTheConnectedPreviousVersionOfAnUpdatedGuard() {
		this.guards.onMembers(List.of(member(FORMER, 2)));
		this.guards.onConnected(FORMER, 0);
		this.guards.onMembers(List.of(member(NEXT, 3)));
		this.guards.send(GUARD, CLAIM);
		assertThat(this.sent).isEmpty();
		this.guards.onLost(FORMER);
		this.guards.onConnected(NEXT, 1);
		this.guards.send(GUARD, NEXT_CLAIM);
		assertThat(this.sent).containsExactly(NEXT_CLAIM);
	}

	// Guards against a restarted guard that is never asked, because the store does not
	// deliver its announcement.
	@Example
	void trustsTheAnnouncementOfThePreviousIncarnationWhileTheStoreIsUnavailable() {
		this.guards.onMembers(List.of(member(FORMER, 3)));
		this.guards.onConnected(NEXT, 7);
		this.guards.send(GUARD, CLAIM);
		this.guards.tick(7 + WAIT_NANOS - 1);
		assertThat(this.sent).isEmpty();
		this.guards.tick(7 + WAIT_NANOS);
		assertThat(this.sent).containsExactly(CLAIM);
	}

	@Example
	void keepsAConnectedGuardWhoseAnnouncementHasExpiredUntilItsLinkIsLost() {
		this.guards.onMembers(List.of(member(NEXT, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.onMembers(List.of());
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID));
		this.guards.send(GUARD, CLAIM);
		assertThat(this.sent).containsExactly(CLAIM);
		this.guards.onLost(FORMER);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID));
		this.guards.onLost(NEXT);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID), Set.of());
	}

	// Guards against a guard with runs that is asked neither for claims nor for
	// take-overs:
	// its link returns while its announcement has expired.
	@Example
	void listsAGuardAgainWhoseLinkReturnsBeforeItsAnnouncement() {
		this.guards.onMembers(List.of(member(FORMER, 3)));
		this.guards.onConnected(FORMER, 0);
		this.guards.onMembers(List.of());
		this.guards.onLost(FORMER);
		this.guards.onConnected(FORMER, 1);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID), Set.of(), Set.of(GUARD_ID));
		this.guards.send(GUARD, CLAIM);
		assertThat(this.sent).containsExactly(CLAIM);
	}

	@Example
	void listsARestartedGuardWhoseLinkReturnsBeforeItsAnnouncement() {
		this.guards.onMembers(List.of(member(FORMER, 3)));
		this.guards.onMembers(List.of());
		this.guards.onConnected(NEXT, 1);
		assertThat(this.lists).last().isEqualTo(Set.of(GUARD_ID));
		this.guards.send(GUARD, CLAIM);
		assertThat(this.sent).isEmpty();
		this.guards.tick(1 + WAIT_NANOS);
		assertThat(this.sent).containsExactly(CLAIM);
	}

	// Guards against entries that select other guards for a batch, or start it without a
	// claim if no guard is left, because another writer has replaced an announcement by
	// one without a protocol. The protocol of an incarnation does not change.
	@Example
	@Tag("known-red")
	void keepsAConnectedGuardWhoseIncarnationIsAnnouncedAgainWithAnEarlierProtocol() {
		this.guards.onMembers(List.of(member(NEXT, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.onMembers(List.of(member(NEXT, 1)));
		this.guards.send(GUARD, CLAIM);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID));
		assertThat(this.sent).containsExactly(CLAIM);
	}

	@Example
	void keepsAGuardThatIsAnnouncedButNotConnected() {
		this.guards.onMembers(List.of(member(NEXT, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.onLost(NEXT);
		assertThat(this.lists).containsExactly(Set.of(GUARD_ID));
		this.guards.send(GUARD, CLAIM);
		assertThat(this.sent).isEmpty();
		assertThat(this.dropped).containsExactly(CLAIM);
	}

	// Guards against a claim that reaches the next incarnation of its receiver.
	@Example
	void forgetsHeldMessagesWithTheirLink() {
		this.guards.onMembers(List.of(member(FORMER, 3)));
		this.guards.onConnected(NEXT, 0);
		this.guards.send(GUARD, CLAIM);
		this.guards.onLost(NEXT);
		this.guards.onConnected(NEXT, 1);
		this.guards.onMembers(List.of(member(NEXT, 3)));
		assertThat(this.sent).isEmpty();
	}

	private static Member member(PeerIdentity peer, int protocol) {
		return new Member(peer.name(), peer.incarnation(), new PeerAddress("127.0.0.1", 1), protocol);
	}

}
