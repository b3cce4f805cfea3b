package io.coriandermux.core.dispatch;

/**
 * Identifies a caller that waits for an answer from this entry.
 *
 * @param value number of the request in this process
 */
public record CallerRef(long value) {

	@Override
	public boolean equals(Object other) {
		return other instanceof CallerRef that && this.value == that.value;
	}

	@Override
	public int hashCode() {
		return Long.hashCode(this.value);
	}

}
