package io.coriandermux.daemon.http;

/**
 * An HTTP reply with a JSON body.
 *
 * @param status HTTP status code
 * @param body the JSON document in UTF-8
 * @param retryAfterMillis delay before the caller may retry in milliseconds, 0 if not
 * specified
 */
public record JsonReply(int status, byte[] body, long retryAfterMillis) {

}
