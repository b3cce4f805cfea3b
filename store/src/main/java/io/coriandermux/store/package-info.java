/**
 * Client of the platform's key-value store over HTTP.
 */
package io.coriandermux.store;
