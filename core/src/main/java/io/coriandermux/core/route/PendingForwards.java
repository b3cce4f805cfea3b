package io.coriandermux.core.route;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.id.Moment;
import io.coriandermux.core.message.Forward;
import io.coriandermux.core.reply.PendingRequest;
import io.coriandermux.core.reply.PendingRequests;
import io.coriandermux.core.reply.Requester;

/**
 * Requests that were forwarded to the homes of their jobs and have no reply yet.
 */
public final class PendingForwards {

	private final PendingRequests<Long> pendingRequests = new PendingRequests<>(PendingRequest::homeDeadlineNanos);

	private final Map<Long, HomeMember> targets = new LinkedHashMap<>();

	private long lastCorrelation;

	/**
	 * Creates an empty collection.
	 * @param previousCorrelation the number before the first correlation number; it keeps
	 * the correlation numbers of this incarnation distinct from those of earlier ones
	 */
	public PendingForwards(long previousCorrelation) {
		this.lastCorrelation = previousCorrelation;
	}

	/**
	 * Adds a request and assigns it a correlation number.
	 * @param pendingRequest the request
	 * @param target the entry to which it is forwarded
	 * @return the message to send
	 */
	public Forward add(PendingRequest pendingRequest, HomeMember target) {
		long correlation = ++this.lastCorrelation;
		this.pendingRequests.add(correlation, pendingRequest);
		this.targets.put(correlation, target);
		return new Forward(correlation, pendingRequest.request());
	}

	/**
	 * Removes the request that a reply belongs to.
	 * @param correlation the correlation number of the reply
	 * @param sender the entry that sent the reply
	 * @return the request, or empty if no such request was forwarded to that entry
	 */
	public Optional<PendingRequest> takeAnswered(long correlation, HomeMember sender) {
		if (!sender.equals(this.targets.get(correlation))) {
			return Optional.empty();
		}
		this.targets.remove(correlation);
		return this.pendingRequests.take(correlation).stream().findFirst();
	}

	/**
	 * Returns the messages to resend to an entry on a new link.
	 * @param target the entry
	 * @return the messages in the order in which they were first sent
	 */
	public List<Forward> pendingFor(HomeMember target) {
		List<Forward> pending = new ArrayList<>();
		this.targets.forEach((correlation, member) -> {
			if (member.equals(target)) {
				this.pendingRequests.first(correlation)
					.ifPresent((pendingRequest) -> pending.add(new Forward(correlation, pendingRequest.request())));
			}
		});
		return pending;
	}

	/**
	 * Removes the requests that were forwarded to a lost entry.
	 * @param target the entry
	 * @return the requests
	 */
	public List<PendingRequest> takeAllFor(HomeMember target) {
		List<PendingRequest> removed = new ArrayList<>();
		for (Forward pending : pendingFor(target)) {
			this.targets.remove(pending.correlation());
			removed.addAll(this.pendingRequests.take(pending.correlation()));
		}
		return removed;
	}

	/**
	 * Removes the request of a disconnected caller.
	 * @param requester the caller
	 */
	public void remove(Requester requester) {
		this.pendingRequests.remove(requester);
		this.targets.keySet().removeIf((correlation) -> this.pendingRequests.first(correlation).isEmpty());
	}

	/**
	 * Removes the requests whose timeout has expired.
	 * @param now the current time
	 * @return the requests
	 */
	public List<PendingRequest> expire(Moment now) {
		List<PendingRequest> expired = this.pendingRequests.expire(now);
		if (!expired.isEmpty()) {
			this.targets.keySet().removeIf((correlation) -> this.pendingRequests.first(correlation).isEmpty());
		}
		return expired;
	}

	/**
	 * Returns the number of pending requests.
	 * @return the number
	 */
	public int size() {
		return this.pendingRequests.size();
	}

}
