package io.coriandermux.wire;

import java.util.List;

import io.coriandermux.core.message.Credit;
import io.coriandermux.core.message.Demand;
import io.coriandermux.core.message.Leaving;
import io.coriandermux.core.message.Recall;
import io.coriandermux.core.message.Release;

/**
 * Numbers and field layouts of the messages about the slots of an endpoint.
 */
final class CreditMessages {

	private static final int CREDIT = 20;

	private static final int RECALL = 21;

	private static final int RELEASE = 22;

	private static final int DEMAND = 23;

	private static final int LEAVING = 24;

	static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(CREDIT, Credit.class, 1, (out, message) -> out.number(message.count()),
					(in) -> new Credit(in.count())),
			new MessageType<>(RECALL, Recall.class, 1, (out, message) -> out.number(message.count()),
					(in) -> new Recall(in.count())),
			new MessageType<>(RELEASE, Release.class, 1, (out, message) -> out.number(message.count()),
					(in) -> new Release(in.count())),
			new MessageType<>(DEMAND, Demand.class, 1, (out, message) -> out.number(message.queued()),
					(in) -> new Demand(in.count())),
			new MessageType<>(LEAVING, Leaving.class, 1, (out, message) -> out.number(message.graceMillis()),
					(in) -> new Leaving(in.number())));

	private CreditMessages() {
	}

}
