package io.coriandermux.daemon.run;

import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/**
 * The metrics of a process; docs/metrics.md lists their names.
 */
public final class ProcessMetrics {

	private final MetricRegistry registry = new MetricRegistry();

	/**
	 * Returns the registry of the metrics.
	 * @return the registry
	 */
	public MetricRegistry registry() {
		return this.registry;
	}

	/**
	 * Increments a counter.
	 * @param name name of the counter
	 */
	public void count(String name) {
		this.registry.counter(name).inc();
	}

	/**
	 * Adds a duration to a timer.
	 * @param name name of the timer
	 * @param nanos the duration in nanoseconds
	 */
	public void recordDuration(String name, long nanos) {
		this.registry.timer(name).update(nanos, TimeUnit.NANOSECONDS);
	}

	/**
	 * Registers a gauge with a text.
	 * @param name name of the gauge
	 * @param value supplies the text; called by any thread
	 */
	public void registerText(String name, Supplier<String> value) {
		this.registry.register(name, (Gauge<String>) value::get);
	}

	/**
	 * Registers a gauge.
	 * @param name name of the gauge
	 * @param value supplies the value; called by any thread
	 */
	public void registerGauge(String name, Supplier<Number> value) {
		this.registry.register(name, (Gauge<Number>) value::get);
	}

}
