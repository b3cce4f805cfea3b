package io.coriandermux.core.id;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A job id in one of three forms: issued by an entry
 * ({@code j-<partition>-<epoch>-<uuid>}, with a three-digit hexadecimal partition, a
 * hexadecimal epoch and a version 7 UUID), time-ordered (a version 7 UUID), and
 * free-form.
 *
 * @param text the id as text
 */
public record JobId(String text) {

	private static final Pattern FREE_FORM = Pattern.compile("[A-Za-z0-9._:-]{1,96}");

	private static final Pattern ISSUED = Pattern.compile(
			"j-([0-9a-f]{3})-([0-9a-f]{1,16})-([0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12})");

	private static final Pattern TIME_ORDERED = Pattern
		.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");

	private static final int UUID_TIME_DIGITS = 12;

	private static final int HEX = 16;

	/**
	 * Checks the text.
	 * @param text the id as text
	 */
	public JobId {
		if (!FREE_FORM.matcher(text).matches()) {
			throw new InvalidIdentifierException("a job id has 1 to 96 characters of A-Z a-z 0-9 . _ : -");
		}
	}

	/**
	 * Creates an id of the issued form.
	 * @param partition the partition whose home issues the id
	 * @param epoch the home's epoch
	 * @param uuid a version 7 UUID as text
	 * @return the id
	 */
	public static JobId issue(Partition partition, Epoch epoch, String uuid) {
		return new JobId(String.format("j-%03x-%x-%s", partition.number(), epoch.value(), uuid));
	}

	/**
	 * Returns the partition and epoch that an issued id contains.
	 * @return the partition and epoch, or empty for another form
	 */
	public Optional<PartitionEpoch> partitionEpoch() {
		Matcher matcher = ISSUED.matcher(this.text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		int number = Integer.parseInt(matcher.group(1), HEX);
		if (number >= Partition.COUNT) {
			return Optional.empty();
		}
		long epoch = Long.parseUnsignedLong(matcher.group(2), HEX);
		return Optional.of(new PartitionEpoch(new Partition(number), new Epoch(epoch)));
	}

	/**
	 * Returns the creation time that the id contains.
	 * @return milliseconds since 1970-01-01 UTC, or empty for a free-form id
	 */
	public OptionalLong createdAtMillis() {
		Matcher issued = ISSUED.matcher(this.text);
		if (issued.matches()) {
			return OptionalLong.of(uuidMillis(issued.group(3)));
		}
		return TIME_ORDERED.matcher(this.text).matches() ? OptionalLong.of(uuidMillis(this.text))
				: OptionalLong.empty();
	}

	private static long uuidMillis(String uuid) {
		return Long.parseLong(uuid.replace("-", "").substring(0, UUID_TIME_DIGITS), HEX);
	}

	@Override
	public String toString() {
		return this.text;
	}

}
