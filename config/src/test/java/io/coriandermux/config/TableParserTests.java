package io.coriandermux.config;

import java.util.List;

import io.coriandermux.core.id.OwnerId;
import io.coriandermux.core.id.PoolName;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.core.table.OwnerShare;
import io.coriandermux.core.table.Tables;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

/**
 * Guards against an invalid configuration that is accepted, and against errors that are
 * reported at the wrong place or with the wrong rule.
 */
class TableParserTests {

	private static final String POOLS = """
			{"owner":"guild","pools":[{"name":"fast","endpoints":["r1","gpu-*"],
			"owners":[{"owner":"guild","weight":2,"maxInFlight":40}],"shortSlots":1}]}""";

	private static final String ROUTES = """
			{"owner":"guild","routes":[{"name":"render","path":"/render","pool":"fast","timeoutMs":2000}]}""";

	private final TableParser parser = new TableParser();

	@Example
	void validDocumentsAreParsedIntoTables() throws InvalidTablesException {
		Tables tables = this.parser.parse(new Revision(9), List.of(pools(POOLS), routes("guild", ROUTES)));
		assertThat(tables.revision()).isEqualTo(new Revision(9));
		assertThat(tables.routes()).singleElement().satisfies((route) -> {
			assertThat(route.owner()).isEqualTo(new OwnerId("guild"));
			assertThat(route.timeoutMillis()).isEqualTo(2000);
		});
		assertThat(tables.pools().get(new PoolName("fast"))).satisfies((pool) -> {
			assertThat(pool.shares()).containsEntry(new OwnerId("guild"), new OwnerShare(2, 40));
			assertThat(pool.endpoints()).containsExactly("r1", "gpu-*");
			assertThat(pool.maxQueueMillis()).isEqualTo(TableParser.DEFAULT_MAX_QUEUE_MILLIS);
		});
	}

	@Example
	void everyErrorIsReportedWithItsPlaceAndRule() {
		String routes = """
				{"owner":"guild","routes":[{"name":"a","path":"x","pool":"none","timeoutMs":"1"},
				{"name":"b","path":"/b","pool":"fast","timeoutMs":0,"extra":1},3]}""";
		assertThat(errors(pools(POOLS.replace("\"weight\":2,", "")), routes("guild", routes)))
			.containsExactly("/pools/0/owners/0/weight missing_field", "/routes/2 wrong_type");
		assertThat(errors(pools(POOLS), routes("guild", routes.replace(",3]", "]")))).containsExactly(
				"/routes/0/timeoutMs wrong_type", "/routes/0/path out_of_range", "/routes/1/extra unknown_field",
				"/routes/1/timeoutMs out_of_range");
	}

	@Example
	void routeToUnknownPoolOrPoolOfOtherOwnersIsRejected() {
		String routes = ROUTES.replace("guild", "thornbury");
		assertThat(errors(pools(POOLS), routes("thornbury", routes))).containsExactly("/routes/0/pool pool_not_open");
		assertThat(errors(routes("guild", ROUTES))).containsExactly("/routes/0/pool unknown_pool");
	}

	@Example
	void duplicateNamesAreRejected() {
		String routes = ROUTES.replace("]}",
				",{\"name\":\"render\",\"path\":\"/render\",\"pool\":\"fast\"," + "\"timeoutMs\":1}]}");
		assertThat(errors(pools(POOLS), routes("guild", routes))).containsExactly("/routes/1/name duplicate_name",
				"/routes/1/path duplicate_name");
		ConfigDocument other = new ConfigDocument("/config/pools/zed", new Revision(1),
				POOLS.replace("\"owner\":\"guild\",\"pools\"", "\"owner\":\"zed\",\"pools\""));
		assertThat(errors(pools(POOLS), other)).containsExactly("/pools/0/name duplicate_name");
	}

	@Example
	void malformedTooLargeAndMisplacedDocumentsAreRejected() {
		assertThat(errors(routes("guild", "{\"owner\":\"guild\",\"owner\":\"guild\"}"))).containsExactly(" malformed");
		assertThat(errors(routes("guild", "[]"))).containsExactly(" malformed");
		assertThat(errors(routes("guild", "\"" + "x".repeat(1_000_000) + "\""))).containsExactly(" too_large");
		assertThat(errors(new ConfigDocument("/config/extra", new Revision(1), "{}"))).containsExactly(" unknown_key");
		assertThat(errors(routes("guild", "{\"owner\":\"zed\",\"routes\":[]}"))).containsExactly("/owner other_owner");
	}

	private List<String> errors(ConfigDocument... documents) {
		InvalidTablesException ex = catchThrowableOfType(InvalidTablesException.class,
				() -> this.parser.parse(new Revision(1), List.of(documents)));
		return ex.errors().stream().map((error) -> error.pointer() + " " + error.rule().text()).toList();
	}

	private static ConfigDocument pools(String json) {
		return new ConfigDocument("/config/pools/guild", new Revision(1), json);
	}

	private static ConfigDocument routes(String owner, String json) {
		return new ConfigDocument("/config/routes/" + owner, new Revision(2), json);
	}

}
