package io.coriandermux.bench.capacity;

import java.util.List;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line fitted to a cost over the size.
 *
 * @param name name of the probe
 * @param sizeUnit unit of the size
 * @param costUnit unit of the cost
 * @param points the points
 * @param slope cost per unit of size
 * @param intercept cost at size 0
 * @param residual largest vertical distance of a point from the line, as a fraction of
 * the largest cost
 */
public record CapacitySlope(String name, String sizeUnit, String costUnit, List<CapacityPoint> points, double slope,
		double intercept, double residual) {

	private static final int MIN_POINTS = 3;

	/**
	 * Fits a line through points by least squares.
	 * @param name name of the probe
	 * @param sizeUnit unit of the size
	 * @param costUnit unit of the cost
	 * @param points the points, at least three
	 * @return the fitted line
	 * @throws TooFewPointsException if there are fewer than three points
	 */
	public static CapacitySlope fit(String name, String sizeUnit, String costUnit, List<CapacityPoint> points)
			throws TooFewPointsException {
		if (points.size() < MIN_POINTS) {
			throw new TooFewPointsException(name, points.size());
		}
		SimpleRegression regression = new SimpleRegression();
		points.forEach((point) -> regression.addData(point.size(), point.cost()));
		double largestCost = points.stream().mapToDouble((point) -> Math.abs(point.cost())).max().orElse(1);
		double largestDistance = points.stream()
			.mapToDouble((point) -> Math.abs(point.cost() - regression.predict(point.size())))
			.max()
			.orElse(0);
		return new CapacitySlope(name, sizeUnit, costUnit, List.copyOf(points), regression.getSlope(),
				regression.getIntercept(), (largestCost > 0) ? largestDistance / largestCost : 0);
	}

}
