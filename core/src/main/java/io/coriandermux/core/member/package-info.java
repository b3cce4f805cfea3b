/**
 * Membership: the announcements of entries and guards.
 */
package io.coriandermux.core.member;
