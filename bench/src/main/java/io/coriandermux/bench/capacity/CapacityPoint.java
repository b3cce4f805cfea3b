package io.coriandermux.bench.capacity;

/**
 * Cost of a probe at one size.
 *
 * @param size the size
 * @param cost the cost at that size
 */
public record CapacityPoint(int size, double cost) {

}
