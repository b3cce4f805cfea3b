/**
 * Stand-ins for the platform: its key-value store and the endpoints that run tasks.
 */
package io.coriandermux.standins;
