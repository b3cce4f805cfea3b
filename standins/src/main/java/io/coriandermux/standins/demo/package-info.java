/**
 * Driver of the demo: submits jobs to running processes, has some processes killed, and
 * compares the reported outcome of each job with the starts that the endpoints counted.
 */
package io.coriandermux.standins.demo;
