/**
 * Value types for identifiers. Types that are used as map keys implement equals and
 * hashCode explicitly: the methods that the compiler generates for records are linked at
 * run time, which costs processor time at each start of a process.
 */
package io.coriandermux.core.id;
