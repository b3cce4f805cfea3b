package io.coriandermux.core.lease;

import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Tracks which polls were sent and answered, and which ends of runs were processed and
 * acknowledged.
 */
final class PollTracker {

	/** A poll ends within 400 ms, in which the token rises once in 20 ms at most. */
	private static final int MAX_TOKENS = 32;

	/** More polls than are sent within the timeout of a call. */
	private static final int MAX_SENT_TIMES = 64;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** Times at which the last polls were sent, by their numbers modulo the length. */
	private final long[] sentNanos = new long[MAX_SENT_TIMES];

	private long lastSent;

	private long lastAnswered;

	private long lastSentNanos;

	private long lastToken;

	/** The fencing tokens by the number of the first poll that was sent with each. */
	private final NavigableMap<Long, Long> tokens = new TreeMap<>();

	/** Numbers of the last polls that renewed the lease. */
	private final NavigableSet<Long> granting = new TreeSet<>();

	private long highestReceivedEnd;

	private long lastAcknowledgedEnd;

	/**
	 * Resets the numbers of the ends, which restart with each incarnation of the
	 * endpoint.
	 */
	void resetEnds() {
		this.highestReceivedEnd = 0;
		this.lastAcknowledgedEnd = 0;
	}

	Poll nextPoll(long waitMillis, long token, long nowNanos) {
		this.lastSent++;
		if (token != this.lastToken) {
			this.lastToken = token;
			this.tokens.put(this.lastSent, token);
			if (this.tokens.size() > MAX_TOKENS) {
				this.tokens.pollFirstEntry();
			}
		}
		this.lastSentNanos = nowNanos;
		this.sentNanos[(int) (this.lastSent % MAX_SENT_TIMES)] = nowNanos;
		return new Poll(this.lastSent, this.highestReceivedEnd, waitMillis);
	}

	/**
	 * Returns the next poll that any incarnation may answer. It acknowledges no ends,
	 * because the numbers of the ends restart with each incarnation.
	 * @param token fencing token of the poll
	 * @param nowNanos the current time on the monotonic clock
	 * @return the poll
	 */
	Poll nextPollOfAnyIncarnation(long token, long nowNanos) {
		return new Poll(nextPoll(0, token, nowNanos).number(), 0, 0);
	}

	/**
	 * Records that a poll renews the lease, so that it must not be carried out late.
	 * @param poll the poll
	 */
	void markGranting(Poll poll) {
		this.granting.add(poll.number());
		if (this.granting.size() > MAX_TOKENS) {
			this.granting.pollFirst();
		}
	}

	boolean isGranting(long number) {
		return this.granting.contains(number);
	}

	long lastNumber() {
		return this.lastSent;
	}

	long lastToken() {
		return this.lastToken;
	}

	/**
	 * Returns the fencing token that a poll was sent with.
	 * @param poll the poll
	 * @return the token, 0 if many later ones were used since
	 */
	long tokenOf(Poll poll) {
		Map.Entry<Long, Long> first = this.tokens.floorEntry(poll.number());
		return (first != null) ? first.getValue() : 0;
	}

	/**
	 * Returns the age of a poll.
	 * @param poll the poll
	 * @param nowNanos the current time on the monotonic clock
	 * @return the time since it was sent in milliseconds, empty if many others were sent
	 * since
	 */
	OptionalLong ageMillis(Poll poll, long nowNanos) {
		return (this.lastSent - poll.number() < MAX_SENT_TIMES)
				? OptionalLong.of((nowNanos - this.sentNanos[(int) (poll.number() % MAX_SENT_TIMES)]) / NANOS_PER_MILLI)
				: OptionalLong.empty();
	}

	void onAnswered(Poll poll) {
		this.lastAnswered = Math.max(this.lastAnswered, poll.number());
	}

	void onEndsAcknowledged(Poll poll) {
		this.lastAcknowledgedEnd = Math.max(this.lastAcknowledgedEnd, poll.highestReceivedEnd());
	}

	/**
	 * Records that an end was received.
	 * @param number its number
	 * @return whether it was not received before
	 */
	boolean recordEnd(long number) {
		if (number <= this.highestReceivedEnd) {
			return false;
		}
		this.highestReceivedEnd = number;
		return true;
	}

	boolean isPollPending() {
		return this.lastAnswered < this.lastSent;
	}

	boolean hasUnacknowledgedEnds() {
		return this.lastAcknowledgedEnd < this.highestReceivedEnd;
	}

	long nextNumber() {
		return this.lastSent + 1;
	}

	long lastSentNanos() {
		return this.lastSentNanos;
	}

}
