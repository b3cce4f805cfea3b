package io.coriandermux.config;

import java.util.List;

/**
 * A validated edit, ready to be written by compare-and-swap.
 *
 * @param base the document before the edit
 * @param edited the document to write
 * @param difference the changes
 * @param dropped the oldest audit records, which no longer fit into the document
 */
public record PlannedEdit(TableDocument base, TableDocument edited, List<ItemChange> difference,
		List<AuditRecord> dropped) {

}
