package io.coriandermux.core.api;

/**
 * A task as submitted.
 *
 * @param path path of the request at the endpoint; selects the route
 * @param payload body of the request
 * @param needs declared resource needs
 * @param declaredMillis declared run time in milliseconds, 0 if not declared
 */
public record TaskSpec(String path, byte[] payload, Resources needs, long declaredMillis) {

}
