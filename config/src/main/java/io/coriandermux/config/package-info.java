/**
 * The operators' routes and pools tables as JSON documents: parsing, validation,
 * differences and audit records.
 */
package io.coriandermux.config;
