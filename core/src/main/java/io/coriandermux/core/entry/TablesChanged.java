package io.coriandermux.core.entry;

import io.coriandermux.core.table.Tables;

/**
 * New validated tables are in force at this process.
 *
 * @param tables the tables
 */
public record TablesChanged(Tables tables) implements EntryEvent {

}
