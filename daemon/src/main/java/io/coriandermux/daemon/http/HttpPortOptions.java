package io.coriandermux.daemon.http;

/**
 * Limits of an HTTP port.
 *
 * @param ioThreads number of I/O threads
 * @param maxConnections maximum number of concurrent connections
 * @param maxBodyBytes maximum size of a request body in bytes
 */
public record HttpPortOptions(int ioThreads, int maxConnections, long maxBodyBytes) {

}
