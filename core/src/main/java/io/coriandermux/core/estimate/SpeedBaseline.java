package io.coriandermux.core.estimate;

/**
 * Mean of the logarithmic slowness of all endpoints, to which their speeds are relative.
 * Without this common reference, speeds and run-time estimates could drift together.
 */
public final class SpeedBaseline {

	private double sum;

	private int endpoints;

	/**
	 * Returns the mean logarithmic slowness.
	 * @return the mean, 0 without endpoints
	 */
	double meanLogSlowness() {
		return (this.endpoints == 0) ? 0 : this.sum / this.endpoints;
	}

	void addEndpoint() {
		this.endpoints++;
	}

	void removeEndpoint(double logSlowness) {
		this.endpoints--;
		this.sum = (this.endpoints == 0) ? 0 : this.sum - logSlowness;
	}

	void adjustSum(double difference) {
		this.sum += difference;
	}

}
