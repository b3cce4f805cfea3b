package io.coriandermux.core.guard;

import java.util.ArrayList;
import java.util.List;

import io.coriandermux.core.id.PartitionEpoch;
import io.coriandermux.core.message.FenceAnswer;
import io.coriandermux.core.message.LedgerEntry;

/**
 * Splits the answer to a fence into pages that fit into a frame.
 */
final class FenceAnswerPages {

	/** Maximum size of all bodies of a page in bytes; a frame holds 4 MiB. */
	static final int MAX_BODY_BYTES = 1 << 20;

	/**
	 * Maximum number of entries of a page. With keys of 200 bytes, they take about 300 KB
	 * of a frame without bodies.
	 */
	static final int MAX_ENTRIES = 1000;

	private FenceAnswerPages() {
	}

	static List<FenceAnswer> split(List<PartitionEpoch> epochs, List<LedgerEntry> entries, long startedAtEpochMillis) {
		List<FenceAnswer> pages = new ArrayList<>();
		List<LedgerEntry> page = new ArrayList<>();
		int bodyBytes = 0;
		for (LedgerEntry entry : entries) {
			if (page.size() == MAX_ENTRIES || (!page.isEmpty() && bodyBytes + entry.body().length > MAX_BODY_BYTES)) {
				pages.add(new FenceAnswer(epochs, page, false, startedAtEpochMillis));
				page = new ArrayList<>();
				bodyBytes = 0;
			}
			page.add(entry);
			bodyBytes += entry.body().length;
		}
		pages.add(new FenceAnswer(epochs, page, true, startedAtEpochMillis));
		return pages;
	}

}
