package io.coriandermux.core.entry;

/**
 * Reads the list of guards from the store and reports it as {@link GuardsListed}.
 *
 * @param request number of the request, to be reported only with a list whose read began
 * after the request
 */
public record ListGuards(long request) implements EntryEffect {

}
