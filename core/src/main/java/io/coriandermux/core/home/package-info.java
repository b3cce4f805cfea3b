/**
 * The assignment of partitions to their homes, and the take-over of partitions by another
 * entry.
 */
package io.coriandermux.core.home;
