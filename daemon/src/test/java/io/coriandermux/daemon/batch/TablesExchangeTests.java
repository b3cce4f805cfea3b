package io.coriandermux.daemon.batch;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.message.Message;
import io.coriandermux.core.message.TablesOffer;
import io.coriandermux.core.message.TablesPull;
import io.coriandermux.core.message.TablesPush;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a large configuration that saturates the links of small entries, and
 * against an entry that does not receive the configuration while it cannot read the
 * store.
 */
class TablesExchangeTests {

	private static final byte[] DOCUMENT = new byte[300_000];

	private final List<Message> sent = new ArrayList<>();

	private final List<PeerName> receivers = new ArrayList<>();

	private final TablesExchange exchange = new TablesExchange(entry(0), (peer, message) -> {
		this.receivers.add(peer);
		this.sent.add(message);
	});

	@Example
	void offersALargeConfigurationWithoutItsDocument() {
		this.exchange.onTablesApplied(tables(7), entries(14));
		assertThat(this.sent).hasSize(14).allMatch(TablesOffer.class::isInstance);
	}

	@Example
	void sendsNoRequestIfTheStoreDeliversTheConfigurationInTime() {
		this.exchange.onOffer(entry(1), 7, 0);
		this.exchange.tick(millis(100));
		this.exchange.onTablesApplied(tables(7), List.of());
		this.exchange.tick(millis(5_000));
		assertThat(this.sent).isEmpty();
	}

	@Example
	void requestsFromOneEntryAtATimeIfTheStoreDoesNotDeliverTheConfiguration() {
		entries(14).forEach((peer) -> this.exchange.onOffer(peer, 7, 0));
		this.exchange.tick(millis(310));
		this.exchange.tick(millis(330));
		assertThat(this.sent).containsExactly(new TablesPull(0));
		this.exchange.tick(millis(1_000));
		assertThat(this.receivers).hasSize(2).doesNotHaveDuplicates();
	}

	@Example
	void requestsFromAnotherEntryIfTheFirstIsLost() {
		this.exchange.onOffer(entry(1), 7, 0);
		this.exchange.onOffer(entry(2), 7, 0);
		this.exchange.onEntryLost(entry(1));
		this.exchange.tick(millis(310));
		assertThat(this.receivers).containsExactly(entry(2));
	}

	@Example
	void sendsTheDocumentOnlyIfItIsNewer() {
		this.exchange.onTablesApplied(tables(7), List.of());
		this.exchange.onPull(entry(1), 7);
		assertThat(this.sent).isEmpty();
		this.exchange.onPull(entry(1), 5);
		assertThat(this.sent).containsExactly(tables(7));
	}

	@Example
	void ignoresOffersOfTheVersionInForce() {
		this.exchange.onTablesApplied(tables(7), List.of());
		this.exchange.onOffer(entry(1), 7, 0);
		this.exchange.tick(millis(10_000));
		assertThat(this.sent).isEmpty();
	}

	private static TablesPush tables(long version) {
		return new TablesPush(version, DOCUMENT);
	}

	private static PeerName entry(int number) {
		return new PeerName(PeerRole.ENTRY, "e" + number);
	}

	private static List<PeerName> entries(int count) {
		List<PeerName> entries = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			entries.add(entry(number));
		}
		return entries;
	}

	private static long millis(long value) {
		return value * 1_000_000;
	}

}
