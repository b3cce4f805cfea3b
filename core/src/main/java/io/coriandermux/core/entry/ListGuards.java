package io.coriandermux.core.entry;

/**
 * Read the list of guards from the store and report it as {@link GuardsListed}.
 *
 * @param request number to report with the result; a list whose read began earlier must
 * not have it
 */
public record ListGuards(long request) implements EntryEffect {

}
