/**
 * The configuration that operators edit: routes and pools.
 */
package io.coriandermux.core.table;
