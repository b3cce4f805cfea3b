package io.coriandermux.bench.load;

import java.net.URI;

/**
 * A process whose usage is sampled before and after each phase.
 *
 * @param name name of the process in the report
 * @param pid the process id
 * @param operatorsUri address of its operators' port
 */
public record WatchedProcess(String name, long pid, URI operatorsUri) {

}
