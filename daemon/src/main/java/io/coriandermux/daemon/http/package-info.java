/**
 * HTTP ports for callers and operators, and the JSON format of requests and replies.
 */
package io.coriandermux.daemon.http;
