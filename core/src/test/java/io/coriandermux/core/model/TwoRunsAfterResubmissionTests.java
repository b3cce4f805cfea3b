package io.coriandermux.core.model;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Sequences that may lead to two runs of one task although no guard or endpoint fails to
 * stop a run (issue 31): the entry that has the batch does not learn in time that the
 * caller has submitted it to another one, or takes a run for ended that goes on.
 */
class TwoRunsAfterResubmissionTests {

	private static final String JOB = "job";

	/** Time that the callers of the sites wait. */
	private static final long SHORT_WAIT_MILLIS = 1_500;

	/** Callers come back 1.3 s after they have given up. */
	private static final long RETURN_MILLIS = SHORT_WAIT_MILLIS + 1_300;

	private static final long NEVER_MILLIS = 60_000;

	// Hypothesis 2: the caller's connection is half open, so that the entry confirms the
	// session of a run whose caller has submitted the batch to another entry.
	@Example
	void aBatchWhoseCallerHasGivenUpUnnoticedRunsAtOneEntryOnly() {
		for (long ageMillis = 20; ageMillis <= 1_500; ageMillis += 40) {
			ClusterModel cluster = ClusterModel.small();
			submitJob(cluster, 4_000);
			cluster.advance(ageMillis);
			cluster.callers().leaveHalfOpen(cluster.entry(0));
			cluster.advance(6_000);
			assertNoTaskRanTwice(cluster, "half open after " + ageMillis + " ms");
		}
	}

	// Hypothesis 3: an entry reads a request after its caller has given up, and learns of
	// that later still.
	@Example
	void aRequestThatLayUnreadUntilItsCallerGaveUpStartsNothing() {
		for (long pauseMillis = 200; pauseMillis <= 2_800; pauseMillis += 100) {
			assertOneRunOfAnUnreadRequest(pauseMillis, NEVER_MILLIS);
		}
	}

	// Hypothesis 3, with a disconnect that the entry reads right after the request.
	@Example
	void aRequestThatIsReadTogetherWithTheDisconnectOfItsCallerIsStoppedAtOnce() {
		for (long pauseMillis = 200; pauseMillis <= 3_500; pauseMillis += 100) {
			assertOneRunOfAnUnreadRequest(pauseMillis, 0);
		}
	}

	private static void assertOneRunOfAnUnreadRequest(long pauseMillis, long disconnectDelayMillis) {
		ClusterModel cluster = ClusterModel.small();
		cluster.callers().setWait(SHORT_WAIT_MILLIS, () -> disconnectDelayMillis);
		cluster.entry(0).pause(pauseMillis, true);
		cluster.advance(50);
		submitJob(cluster, 3_000);
		cluster.advance(6_000);
		assertNoTaskRanTwice(cluster, "entry stands still for " + pauseMillis + " ms");
	}

	// Hypothesis 4: a new incarnation of an entry confirms sessions under which a guard
	// still holds runs of the previous one.
	@Example
	void theRunsOfAnEntryEndAlthoughItsNextIncarnationIsBackBeforeItsCallers() {
		for (int target = 0; target < 2; target++) {
			for (long downMillis = 10; downMillis <= 1_300; downMillis += 30) {
				ClusterModel cluster = ClusterModel.small();
				submitJob(cluster, 4_000);
				cluster.resubmitTo(cluster.entry(target));
				cluster.advance(100);
				cluster.entry(0).kill();
				cluster.advance(downMillis);
				cluster.entry(0).start();
				cluster.advance(5_000);
				assertNoTaskRanTwice(cluster, "back after " + downMillis + " ms");
			}
		}
	}

	// Hypothesis 4, and the guard stands still while the new incarnation connects.
	@Example
	void theRunsOfAnEntryEndAlthoughTheGuardNoticesItsNextIncarnationLate() {
		for (long downMillis = 10; downMillis <= 1_300; downMillis += 30) {
			ClusterModel cluster = ClusterModel.small();
			submitJob(cluster, 4_000);
			cluster.advance(100);
			cluster.holder(JOB).orElseThrow().pause(1_500, false);
			cluster.entry(0).kill();
			cluster.advance(downMillis);
			cluster.entry(0).start();
			cluster.advance(5_000);
			assertNoTaskRanTwice(cluster, "back after " + downMillis + " ms");
		}
	}

	// Hypothesis 5: an entry takes the runs of a living guard for ended because the link
	// is new.
	@Example
	void aNewLinkDoesNotMakeTheRunsOfAGuardStartElsewhere() {
		for (long outageMillis = 1; outageMillis <= 2_500; outageMillis += 50) {
			long outage = outageMillis;
			assertJobsRunOnce("link away for " + outageMillis + " ms", (cluster) -> cluster.guards()
				.forEach((guard) -> cluster.link(cluster.entry(0), guard).reset(outage)));
		}
	}

	// Hypothesis 5: a link that is silent in one direction only is replaced or lost.
	@Example
	void aSilentLinkDoesNotMakeTheRunsOfAGuardStartElsewhere() {
		for (long silentMillis = 100; silentMillis <= 2_500; silentMillis += 100) {
			long silent = silentMillis;
			assertJobsRunOnce("entry hears nothing for " + silentMillis + " ms", (cluster) -> cluster.guards()
				.forEach((guard) -> cluster.link(cluster.entry(0), guard).silenceToFirst(silent)));
			assertJobsRunOnce("guard hears nothing for " + silentMillis + " ms", (cluster) -> cluster.guards()
				.forEach((guard) -> cluster.link(cluster.entry(0), guard).silenceToSecond(silent)));
		}
	}

	// Hypothesis 5: the next incarnation of a guard reports the runs of the previous one
	// as not started.
	@Example
	void theNextIncarnationOfAGuardDoesNotMakeRunsOfThePreviousOneStartElsewhere() {
		for (long downMillis = 10; downMillis <= 2_000; downMillis += 50) {
			for (boolean reportRestored : new boolean[] { true, false }) {
				long down = downMillis;
				assertJobsRunOnce("guard back after " + downMillis + " ms", (cluster) -> {
					ModelGuard guard = cluster.guards().get(0);
					guard.setReportRestored(reportRestored);
					guard.kill();
					cluster.advance(down);
					guard.start();
				});
			}
		}
	}

	// Hypothesis 5: a guard counts the runs of the previous incarnation of its endpoint
	// as lost, together with those that the new one has started.
	@Example
	void theNextIncarnationOfAnEndpointDoesNotMakeItsOwnRunsStartElsewhere() {
		for (long downMillis = 10; downMillis <= 1_000; downMillis += 50) {
			long down = downMillis;
			assertJobsRunOnce("endpoint back after " + downMillis + " ms", (cluster) -> {
				ModelGuard guard = cluster.guards().get(0);
				guard.endpoint().crash(true);
				cluster.advance(down);
				guard.endpoint().restart(true);
				cluster.submit(cluster.entry(0), "late", 2_000);
			});
		}
	}

	// Hypothesis 5: after the guard has stood still, one answer of the endpoint covers
	// the ends of several jobs, among runs that go on.
	@Example
	void aLateReportOfSeveralEndsDoesNotMakeTheRunsThatGoOnStartElsewhere() {
		for (long pauseMillis = 100; pauseMillis <= 2_000; pauseMillis += 100) {
			long pause = pauseMillis;
			assertJobsRunOnce("guard stands still for " + pauseMillis + " ms",
					(cluster) -> cluster.guards().forEach((guard) -> guard.pause(pause, false)));
			assertJobsRunOnce("guard reads nothing for " + pauseMillis + " ms",
					(cluster) -> cluster.guards().forEach((guard) -> guard.pause(pause, true)));
		}
	}

	// Guards against an entry that stands still, so that its runs are stopped and its
	// batch is not announced, and that starts the tasks again when it goes on although
	// the caller has submitted the batch to another entry.
	@Example
	void anEntryThatStoodStillStartsNothingThatAnotherEntryMayHave() {
		for (boolean reads : new boolean[] { false, true }) {
			for (long leftMillis = 10; leftMillis <= 310; leftMillis += 50) {
				for (long pauseMillis = 900; pauseMillis <= 3_000; pauseMillis += 50) {
					ClusterModel cluster = new ClusterModel(1, 2, 3, 3);
					submitJob(cluster, 3_000);
					cluster.advance(leftMillis);
					cluster.callers().leaveHalfOpen(cluster.entry(0));
					cluster.entry(0).pause(pauseMillis, reads);
					cluster.advance(6_000);
					assertNoTaskRanTwice(cluster,
							"left after " + leftMillis + " ms, entry stands still for " + pauseMillis + " ms");
				}
			}
		}
	}

	// Issue 40: an entry takes a request that was held on its way for new, while another
	// entry has had the batch for less time than an announcement takes. The endpoints are
	// nearly full, so that starts of both entries are refused and moved.
	@Example
	void aRequestThatWasHeldOnItsWayStartsNothingThatAnotherEntryHas() {
		List<String> failures = new ArrayList<>();
		for (long disconnectMillis : new long[] { 0, 5, NEVER_MILLIS }) {
			for (int fillers = 0; fillers <= 3; fillers++) {
				for (long laterMillis = 0; laterMillis <= 400; laterMillis += 20) {
					ClusterModel cluster = playHeldRequest(fillers, laterMillis, disconnectMillis);
					if (!cluster.violations().isEmpty()) {
						failures.add("arrived " + laterMillis + " ms after the other, disconnect after "
								+ disconnectMillis + " ms, " + fillers + " other jobs: " + cluster.violations());
					}
				}
			}
		}
		assertThat(failures).isEmpty();
	}

	private static ClusterModel playHeldRequest(int fillers, long laterMillis, long disconnectMillis) {
		ClusterModel cluster = new ClusterModel(1, 2, 3, 4);
		cluster.callers().setWait(SHORT_WAIT_MILLIS, () -> disconnectMillis);
		cluster.resubmitTo(cluster.entry(1));
		cluster.callers().holdRequests(cluster.entry(0), RETURN_MILLIS + laterMillis);
		cluster.callers().submit(cluster.entry(0), JOB, 4, 1_000);
		cluster.advance(RETURN_MILLIS - 200);
		for (int i = 0; i < fillers; i++) {
			cluster.callers().submit(cluster.entry(1), "filler" + i, 3, 1_100);
		}
		cluster.advance(6_000);
		return cluster;
	}

	// The hand-over forgets the batches of an entry whose link is away 0.5 s after it was
	// lost, but a run whose start a lost guard has not confirmed may start for 12 s.
	@Example
	void aBatchWithAnUnconfirmedRunStaysHeldWhileTheLinkToItsEntryIsAway() {
		for (long lateMillis = 4_000; lateMillis <= 8_000; lateMillis += 2_000) {
			OrderFate late = OrderFate.lateBy(lateMillis, true);
			ClusterModel cluster = new ClusterModel(1, 2, 3, 3);
			cluster.advance(1_000);
			cluster.setFatesFromNextStart((kind, run) -> (kind == OrderKind.START) ? late : OrderFate.NORMAL);
			cluster.resubmitTo(cluster.entry(1));
			cluster.submit(cluster.entry(0), JOB, 9_000);
			cluster.advance(10);
			cluster.affected().kill();
			cluster.clock().afterMillis(12_000, cluster.affected()::start);
			cluster.advance(90);
			cluster.clearFates();
			cluster.callers().reset(cluster.entry(0));
			cluster.advance(1_000);
			cluster.entryLinks().forEach((link) -> link.reset(2_500));
			cluster.advance(16_000);
			assertNoTaskRanTwice(cluster, "order carried out after " + lateMillis + " ms");
		}
	}

	// Guards against two sides of a cut that both take the guards of the other side for
	// lost, and both start the batch.
	@Example
	void aBatchRunsOnOneSideOnlyWhileTheSiteIsCut() {
		for (long cutMillis = 3_000; cutMillis <= 9_000; cutMillis += 3_000) {
			for (int job = 0; job < 24; job++) {
				ClusterModel cluster = new ClusterModel(1, 2, 5, 3);
				cut(cluster, cutMillis);
				cluster.advance(job * 20L);
				cluster.resubmitTo(cluster.entry(1));
				cluster.submit(cluster.entry(0), JOB + job, 9_000);
				cluster.advance(100);
				cluster.callers().leaveHalfOpen(cluster.entry(0));
				cluster.advance(12_000);
				assertThat(cluster.violations()).as("job " + job + ", cut for " + cutMillis + " ms").isEmpty();
			}
		}
	}

	// Guards against a take-over that is forgotten when its caller gives up: the caller
	// returns, and the late start order of the dead entry has not been carried out yet.
	@Example
	void aTakeOverGoesOnWhenItsCallerHasGivenUp() {
		for (int target = 1; target < 3; target++) {
			for (long lateMillis = 4_000; lateMillis <= 8_000; lateMillis += 1_000) {
				for (int job = 0; job < 4; job++) {
					OrderFate late = OrderFate.lateBy(lateMillis, true);
					ClusterModel cluster = new ClusterModel(1, 3, 5, 3);
					cluster.callers().setWait(SHORT_WAIT_MILLIS, () -> 0);
					cluster.setFatesFromNextStart((kind, run) -> (kind == OrderKind.START) ? late : OrderFate.NORMAL);
					cluster.resubmitTo(cluster.entry(1));
					cluster.submit(cluster.entry(0), JOB + job, 1_200);
					cluster.advance(10);
					cluster.affected().kill();
					cluster.clock().afterMillis(12_000, cluster.affected()::start);
					cluster.advance(90);
					cluster.clearFates();
					cluster.entry(0).kill();
					cluster.advance(2_000);
					cluster.resubmitTo(cluster.entry(target));
					cluster.advance(16_000);
					assertThat(cluster.violations()).as("job " + job + ", order " + lateMillis + " ms late").isEmpty();
				}
			}
		}
	}

	// Guards against batches that are refused while two of their three keepers are down,
	// although all entries live.
	@Example
	void batchesAreServedWhileSomeGuardsAreDown() {
		ClusterModel cluster = new ClusterModel(1, 3, 7, 3);
		cluster.guards().subList(0, 3).forEach(ModelGuard::kill);
		cluster.advance(3_000);
		for (int job = 0; job < 12; job++) {
			cluster.submit(cluster.entry(job % 3), JOB + job, 100);
			cluster.advance(200);
		}
		cluster.advance(1_000);
		assertThat(cluster.violations()).isEmpty();
		assertThat(cluster.callers().completed()).isEqualTo(12);
	}

	// Guards against batches that nobody can take over while an endpoint is down.
	@Example
	void aTakeOverEndsAlthoughAnEndpointIsDown() {
		ClusterModel cluster = new ClusterModel(1, 2, 5, 3);
		cluster.guards().get(4).endpoint().crash(true);
		cluster.guards().get(4).kill();
		cluster.advance(500);
		cluster.guards().get(4).start();
		cluster.advance(30_000);
		for (int job = 0; job < 8; job++) {
			cluster.submit(cluster.entry(0), JOB + job, 3_000);
		}
		cluster.resubmitTo(cluster.entry(1));
		cluster.advance(500);
		cluster.entry(0).kill();
		cluster.advance(12_000);
		assertThat(cluster.violations()).isEmpty();
		assertThat(cluster.callers().completed()).isEqualTo(8);
	}

	private static void cut(ClusterModel cluster, long millis) {
		for (int guard = 0; guard < cluster.guards().size(); guard++) {
			cluster.link(cluster.entry((guard < 3) ? 1 : 0), cluster.guards().get(guard)).reset(millis);
		}
		cluster.entryLinks().forEach((link) -> link.reset(millis));
	}

	private static void assertJobsRunOnce(String circumstances, Consumer<ClusterModel> fault) {
		ClusterModel cluster = new ClusterModel(1, 2, 3, 3);
		for (int i = 0; i < 6; i++) {
			cluster.submit(cluster.entry(0), JOB + i, 200 + 500 * i);
		}
		cluster.advance(150);
		fault.accept(cluster);
		cluster.advance(6_000);
		assertNoTaskRanTwice(cluster, circumstances);
		assertThat(cluster.prematureEnds()).as(circumstances).isEmpty();
		assertThat(cluster.callers().completed()).as(circumstances).isEqualTo(cluster.callers().submitted());
	}

	private static void submitJob(ClusterModel cluster, long runMillis) {
		cluster.resubmitTo(cluster.entry(1));
		cluster.submit(cluster.entry(0), JOB, runMillis);
	}

	private static void assertNoTaskRanTwice(ClusterModel cluster, String circumstances) {
		assertThat(cluster.violations()).as(() -> circumstances + "\n" + String.join("\n", cluster.trace().about(JOB)))
			.isEmpty();
	}

}
