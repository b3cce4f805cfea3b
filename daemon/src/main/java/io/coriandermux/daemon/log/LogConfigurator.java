package io.coriandermux.daemon.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback to write lines of JSON to standard output through a bounded queue.
 * Logback loads the class as a service. Parsing an XML configuration instead would take a
 * sixth of the CPU time of a start.
 */
public final class LogConfigurator extends ContextAwareBase implements Configurator {

	/**
	 * If the queue is full, further records are dropped so that a slow reader does not
	 * delay decisions.
	 */
	private static final int QUEUE_SIZE = 4096;

	/**
	 * Writes the records in the queue and ends the log. Without it, the last records of a
	 * process, of its shutdown, are lost when the JVM ends. Takes 1 s at most if nobody
	 * reads standard output.
	 */
	public static void close() {
		if (LoggerFactory.getILoggerFactory() instanceof LoggerContext context) {
			context.stop();
		}
	}

	@Override
	public ExecutionStatus configure(LoggerContext context) {
		JsonEncoder encoder = new JsonEncoder();
		encoder.setContext(context);
		encoder.start();
		ConsoleAppender<ILoggingEvent> consoleAppender = new ConsoleAppender<>();
		consoleAppender.setContext(context);
		consoleAppender.setName("lines");
		consoleAppender.setEncoder(encoder);
		consoleAppender.start();
		AsyncAppender asyncAppender = new AsyncAppender();
		asyncAppender.setContext(context);
		asyncAppender.setName("queue");
		asyncAppender.setQueueSize(QUEUE_SIZE);
		asyncAppender.setNeverBlock(true);
		asyncAppender.addAppender(consoleAppender);
		asyncAppender.start();
		Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
		root.setLevel(Level.INFO);
		root.addAppender(asyncAppender);
		for (String name : new String[] { "org.xnio", "io.undertow", "org.jboss" }) {
			context.getLogger(name).setLevel(Level.WARN);
		}
		return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
	}

}
