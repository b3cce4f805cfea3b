package io.coriandermux.bench.capacity;

import java.util.List;
import java.util.function.IntToDoubleFunction;

/**
 * Measures one cost at several sizes, so that its growth per unit of size can be fitted.
 *
 * @param name the name, stable between versions
 * @param sizeUnit unit of the size, such as task or guard
 * @param costUnit unit of the cost, such as bytes or ns
 * @param sizes at least three sizes in ascending order
 * @param measure returns the total cost at a size, in the unit of the cost
 */
public record CapacityProbe(String name, String sizeUnit, String costUnit, List<Integer> sizes,
		IntToDoubleFunction measure) {

}
