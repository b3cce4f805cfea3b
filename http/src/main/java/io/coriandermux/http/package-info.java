/**
 * HTTP client on Undertow: one connection per call for control traffic, persistent
 * connections for tasks and load tests.
 */
package io.coriandermux.http;
