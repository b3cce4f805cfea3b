package io.coriandermux.http;

/**
 * A response of an HTTP server.
 *
 * @param status the status code
 * @param body the body as UTF-8 text
 */
public record HttpReply(int status, String body) {

}
