package io.coriandermux.daemon.entry;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.entry.CallerRequested;
import io.coriandermux.core.entry.EntryEffect;
import io.coriandermux.core.entry.EntryEvent;
import io.coriandermux.core.entry.EntryNode;
import io.coriandermux.core.entry.EntryNotice;
import io.coriandermux.core.entry.HomesRead;
import io.coriandermux.core.entry.HomesWriteRefused;
import io.coriandermux.core.entry.ListGuards;
import io.coriandermux.core.entry.PeerMessage;
import io.coriandermux.core.entry.ReplyToCaller;
import io.coriandermux.core.entry.SendToGuard;
import io.coriandermux.core.entry.SendToPeer;
import io.coriandermux.core.entry.WriteHomes;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.message.HomesPush;
import io.coriandermux.core.message.Message;
import io.coriandermux.daemon.run.ProcessContext;
import io.coriandermux.wire.LinkEventLoop;
import io.coriandermux.wire.PeerName;
import io.coriandermux.wire.PeerRole;

/**
 * Passes events to the state machine of an entry and executes the resulting effects in
 * order. Used by the decision thread only.
 */
final class EntryNodeRunner {

	private final ProcessContext context;

	private final EntryNode node;

	private final LinkEventLoop links;

	private final EntryStore store;

	private final Map<Long, Consumer<CallerReply>> pendingReplies = new LinkedHashMap<>();

	private volatile HomeTable homes = HomeTable.EMPTY;

	EntryNodeRunner(ProcessContext context, EntryNode node, LinkEventLoop links, EntryStore store) {
		this.context = context;
		this.node = node;
		this.links = links;
		this.store = store;
	}

	EntryNode node() {
		return this.node;
	}

	/**
	 * Returns the latest known home table. May be called by any thread.
	 * @return the table
	 */
	HomeTable homes() {
		return this.homes;
	}

	int pendingReplyCount() {
		return this.pendingReplies.size();
	}

	void handleRequest(long reference, CallerRequest request, Consumer<CallerReply> receiver) {
		this.pendingReplies.put(reference, receiver);
		handle(new CallerRequested(reference, request));
	}

	void handle(EntryEvent event) {
		homeTableOf(event).filter((table) -> table.revision().compareTo(this.homes.revision()) > 0)
			.ifPresent((table) -> this.homes = table);
		List<EntryEffect> effects = this.node.handle(event, this.context.time().now());
		effects.forEach(this::execute);
	}

	private static Optional<HomeTable> homeTableOf(EntryEvent event) {
		if (event instanceof HomesRead read) {
			return Optional.of(read.homes());
		}
		if (event instanceof HomesWriteRefused refused) {
			return Optional.of(refused.homes());
		}
		if (event instanceof PeerMessage arrived && arrived.message() instanceof HomesPush push) {
			return Optional.of(push.homes());
		}
		return Optional.empty();
	}

	private void execute(EntryEffect effect) {
		if (effect instanceof SendToGuard send) {
			send(PeerRole.GUARD, send.guard().value(), send.message());
		}
		else if (effect instanceof ReplyToCaller reply) {
			Optional.ofNullable(this.pendingReplies.remove(reply.reference()))
				.ifPresent((receiver) -> receiver.accept(reply.reply()));
		}
		else if (effect instanceof SendToPeer send) {
			send(PeerRole.ENTRY, send.peer().value(), send.message());
		}
		else if (effect instanceof EntryNotice notice) {
			this.context.metrics().count("notices." + notice.notice().kind().name().toLowerCase(Locale.ROOT));
			this.context.log().record(notice.notice());
		}
		else if (effect instanceof WriteHomes write) {
			this.store.writeHomes(write.next());
		}
		else if (effect instanceof ListGuards list) {
			this.store.listGuards(list.request());
		}
	}

	private void send(PeerRole role, String id, Message message) {
		this.context.metrics().count("messages.sent." + message.getClass().getSimpleName());
		this.links.send(new PeerName(role, id), message);
	}

}
