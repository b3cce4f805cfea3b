/**
 * Benchmark of the batch policy: the decisions of entries and guards under a load of
 * batches, in virtual time and without network.
 */
package io.coriandermux.bench.batch;
