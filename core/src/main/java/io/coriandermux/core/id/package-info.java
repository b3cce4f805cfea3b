/**
 * Value types for identifiers. Those that serve as keys of maps write equals and hashCode
 * out: the methods that the compiler generates for records are linked at run time, which
 * costs processor time at each start.
 */
package io.coriandermux.core.id;
