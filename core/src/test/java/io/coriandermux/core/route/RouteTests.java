package io.coriandermux.core.route;

import java.util.List;
import java.util.Map;

import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.id.EndpointName;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.id.RouteName;
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.reply.Requester;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Pool;
import io.coriandermux.core.table.Route;
import io.coriandermux.core.table.Tables;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against the use of another owner's routes and pools, against the loss of
 * recently replaced pools, and against replies that are matched to the wrong request.
 */
class RouteTests {

	private static final OwnerId OWNER = new OwnerId("guild");

	private static final HomeMember HOME = new HomeMember(new EntryId("e2"), new Incarnation(2));

	private static Tables tables(String endpoint) {
		PoolName pool = new PoolName("pool");
		return new Tables(new Revision(1),
				List.of(new Route(OWNER, new RouteName("all"), "/", pool, 1),
						new Route(OWNER, new RouteName("run"), "/run", pool, 1),
						new Route(new OwnerId("other"), new RouteName("foreign"), "/run/x", pool, 1)),
				Map.of(pool, new Pool(pool, List.of(endpoint), Map.of(OWNER, new OwnerShare(1, 1)), 0, 1)));
	}

	@Example
	void findsTheOwnersRouteWithTheLongestMatchingPrefix() {
		RouteFinder finder = new RouteFinder(tables("a"));
		assertThat(finder.find(OWNER, "/run/x").orElseThrow().name().value()).isEqualTo("run");
		assertThat(finder.find(new OwnerId("third"), "/run/x")).isEmpty();
	}

	@Example
	void keepsEndpointsOfAReplacedPoolForTheRetentionTime() {
		PoolHistory history = new PoolHistory(100);
		history.update(tables("a"), new Moment(0, 0));
		history.update(tables("b"), new Moment(10, 0));
		history.expire(new Moment(110, 0));
		assertThat(history.mayHaveRun(OWNER, new EndpointName("a"))).isTrue();
		history.expire(new Moment(111, 0));
		assertThat(history.mayHaveRun(OWNER, new EndpointName("a"))).isFalse();
		assertThat(history.mayHaveRun(OWNER, new EndpointName("b"))).isTrue();
		assertThat(history.mayHaveRun(new OwnerId("other"), new EndpointName("b"))).isFalse();
	}

	@Example
	void matchesAReplyOnlyToARequestForwardedToItsSender() {
		PendingForwards pendingForwards = new PendingForwards(40);
		PendingRequest pendingRequest = new PendingRequest(Requester.caller(1), new ReserveJobId(OWNER), 0, 10, 20);
		long correlation = pendingForwards.add(pendingRequest, HOME).correlation();
		assertThat(correlation).isEqualTo(41);
		HomeMember successor = new HomeMember(HOME.entry(), new Incarnation(3));
		assertThat(pendingForwards.takeAnswered(correlation, successor)).isEmpty();
		assertThat(pendingForwards.takeAnswered(correlation, HOME)).contains(pendingRequest);
		assertThat(pendingForwards.takeAnswered(correlation, HOME)).isEmpty();
		assertThat(pendingForwards.size()).isZero();
	}

	@Example
	void returnsTheRequestsForwardedToALostEntry() {
		PendingForwards pendingForwards = new PendingForwards(0);
		PendingRequest pendingRequest = new PendingRequest(Requester.caller(1), new ReserveJobId(OWNER), 0, 10, 20);
		pendingForwards.add(pendingRequest, HOME);
		assertThat(pendingForwards.takeAllFor(HOME)).containsExactly(pendingRequest);
		assertThat(pendingForwards.expire(new Moment(20, 0))).isEmpty();
	}

}
