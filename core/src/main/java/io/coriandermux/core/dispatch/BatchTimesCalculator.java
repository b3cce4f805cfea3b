package io.coriandermux.core.dispatch;

import io.coriandermux.core.estimate.RunTimeEstimate;
import io.coriandermux.core.id.Moment;

/**
 * Computes the times by which a batch has to start and to be answered.
 */
final class BatchTimesCalculator {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	/** An answer within three times the objective is late but still useful. */
	private static final long USEFUL_TIME_FACTOR = 3;

	private final DispatchSettings settings;

	private final EndpointTable endpoints;

	private final BatchRunTimes runTimes;

	BatchTimesCalculator(DispatchSettings settings, EndpointTable endpoints, BatchRunTimes runTimes) {
		this.settings = settings;
		this.endpoints = endpoints;
		this.runTimes = runTimes;
	}

	BatchTimes compute(BatchRoute route, CallerRequest request, Moment now) {
		RunTimeEstimate estimate = this.runTimes.estimate(route, request.request().tasks());
		long expected = estimate.expectedNanos();
		long fastest = (long) (expected * this.endpoints.leastSlowness(route.pool(), now.nanos()));
		long objective = (long) (expected * route.slowdownFactor()) + route.extraMillis() * NANOS_PER_MILLI;
		long latestStart = now.nanos() + objective - fastest - this.settings.overheadMillis() * NANOS_PER_MILLI;
		long deadline = replyDeadlineNanos(request);
		long lastUsefulStart = latestStart + (USEFUL_TIME_FACTOR - 1) * objective;
		ResponseObjective responseObjective = new ResponseObjective(route.slowdownFactor(),
				(route.extraMillis() - this.settings.overheadMillis()) * NANOS_PER_MILLI, estimate.typicalNanos(),
				estimate.logSpread());
		return new BatchTimes(now.nanos(), deadline, Math.min(latestStart, deadline),
				Math.min(lastUsefulStart, deadline), expected, responseObjective);
	}

	/**
	 * Returns the time at which a request has to be answered to reach its caller before
	 * the caller may stop waiting.
	 * @param request the request
	 * @return the time on the monotonic clock
	 */
	long replyDeadlineNanos(CallerRequest request) {
		return request.waitEndNanos() - this.settings.replyMarginMillis() * NANOS_PER_MILLI;
	}

}
