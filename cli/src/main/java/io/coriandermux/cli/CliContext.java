package io.coriandermux.cli;

import java.io.PrintWriter;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Supplier;

/**
 * The environment that commands run in; tests replace it.
 *
 * @param out standard output
 * @param err standard error
 * @param clock clock for the time of an edit
 * @param idGenerator generates edit ids and job ids, which are version 7 UUIDs
 * @param environment environment variables
 * @param sleeper waits between retries and between refreshes
 */
public record CliContext(PrintWriter out, PrintWriter err, InstantSource clock, Supplier<String> idGenerator,
		Map<String, String> environment, Sleeper sleeper) {

}
