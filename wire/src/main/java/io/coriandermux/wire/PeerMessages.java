package io.coriandermux.wire;

import java.io.IOException;
import java.util.List;

import io.coriandermux.core.home.HomeMember;
import io.coriandermux.core.home.HomeTable;
import io.coriandermux.core.id.EntryId;
import io.coriandermux.core.id.Incarnation;
import io.coriandermux.core.id.Partition;
import io.coriandermux.core.id.Revision;
import io.coriandermux.core.message.ConfigDocument;
import io.coriandermux.core.message.ConfigPull;
import io.coriandermux.core.message.ConfigPush;
import io.coriandermux.core.message.Forward;
import io.coriandermux.core.message.ForwardAnswer;
import io.coriandermux.core.message.Heartbeat;
import io.coriandermux.core.message.HomesPull;
import io.coriandermux.core.message.HomesPush;

/**
 * Numbers and field layouts of heartbeats and of the messages between entries.
 */
final class PeerMessages {

	private static final int HEARTBEAT = 1;

	private static final int FORWARD = 30;

	private static final int FORWARD_ANSWER = 31;

	private static final int CONFIG_PULL = 32;

	private static final int CONFIG_PUSH = 33;

	private static final int HOMES_PULL = 34;

	private static final int HOMES_PUSH = 35;

	private static final int HEARTBEAT_FIELDS = 5;

	private static final int HOMES_FIELDS = 4;

	private static final int DOCUMENT_FIELDS = 3;

	static final List<MessageType<?>> TYPES = List.of(
			new MessageType<>(HEARTBEAT, Heartbeat.class, HEARTBEAT_FIELDS, PeerMessages::writeHeartbeat,
					(in) -> new Heartbeat(in.number(), in.number(), new Incarnation(in.number()),
							new Revision(in.number()), new Revision(in.number()))),
			new MessageType<>(FORWARD, Forward.class, 2, (out, message) -> {
				out.number(message.correlation());
				RequestCodec.write(out, message.request());
			}, (in) -> new Forward(in.number(), RequestCodec.read(in))),
			new MessageType<>(FORWARD_ANSWER, ForwardAnswer.class, 2, (out, message) -> {
				out.number(message.correlation());
				ReplyCodec.write(out, message.reply());
			}, (in) -> new ForwardAnswer(in.number(), ReplyCodec.read(in))),
			new MessageType<>(CONFIG_PULL, ConfigPull.class, 1,
					(out, message) -> out.number(message.currentRevision().value()),
					(in) -> new ConfigPull(new Revision(in.number()))),
			new MessageType<>(CONFIG_PUSH, ConfigPush.class, 2, PeerMessages::writeConfig,
					(in) -> new ConfigPush(new Revision(in.number()),
							in.list(WireLimits.ELEMENTS, PeerMessages::readDocument))),
			new MessageType<>(HOMES_PULL, HomesPull.class, 1,
					(out, message) -> out.number(message.currentRevision().value()),
					(in) -> new HomesPull(new Revision(in.number()))),
			new MessageType<>(HOMES_PUSH, HomesPush.class, HOMES_FIELDS,
					(out, message) -> writeHomes(out, message.homes()), PeerMessages::readHomes));

	private PeerMessages() {
	}

	private static void writeHeartbeat(FieldWriter out, Heartbeat heartbeat) throws IOException {
		out.number(heartbeat.clockNanos());
		out.number(heartbeat.echoNanos());
		out.number(heartbeat.echoedIncarnation().value());
		out.number(heartbeat.configRevision().value());
		out.number(heartbeat.homesRevision().value());
	}

	private static void writeConfig(FieldWriter out, ConfigPush push) throws IOException, CodecException {
		out.number(push.revision().value());
		out.list(push.documents(), WireLimits.ELEMENTS, (element, document) -> {
			element.arrayHeader(DOCUMENT_FIELDS);
			element.name(document.key());
			element.number(document.revision().value());
			element.text(document.json(), WireLimits.DOCUMENT_BYTES);
		});
	}

	private static ConfigDocument readDocument(FieldReader in) throws IOException, CodecException {
		in.arrayHeader(DOCUMENT_FIELDS, "a document");
		return new ConfigDocument(in.name(), new Revision(in.number()), in.text(WireLimits.DOCUMENT_BYTES));
	}

	private static void writeHomes(FieldWriter out, HomeTable homes) throws IOException, CodecException {
		out.number(homes.revision().value());
		out.list(homes.members(), Partition.COUNT, (element, member) -> {
			element.arrayHeader(2);
			element.name(member.entry().value());
			element.number(member.incarnation().value());
		});
		out.list(homes.homes(), Partition.COUNT, (element, index) -> element.number(index));
		out.list(homes.epochs(), Partition.COUNT, (element, epoch) -> element.number(epoch));
	}

	private static HomesPush readHomes(FieldReader in) throws IOException, CodecException {
		Revision revision = new Revision(in.number());
		List<HomeMember> members = in.list(Partition.COUNT, (element) -> {
			element.arrayHeader(2, "a member");
			return new HomeMember(new EntryId(element.name()), new Incarnation(element.number()));
		});
		List<Integer> homes = in.list(Partition.COUNT, (element) -> {
			int index = element.integer();
			if (index < -1 || index >= members.size()) {
				throw new CodecException("the home index " + index + " is outside the " + members.size() + " members");
			}
			return index;
		});
		List<Long> epochs = in.list(Partition.COUNT, FieldReader::number);
		if (homes.size() != Partition.COUNT || epochs.size() != Partition.COUNT) {
			throw new CodecException("a home table has " + homes.size() + " homes and " + epochs.size()
					+ " epochs where " + Partition.COUNT + " are expected");
		}
		return new HomesPush(new HomeTable(revision, members, homes, epochs));
	}

}
