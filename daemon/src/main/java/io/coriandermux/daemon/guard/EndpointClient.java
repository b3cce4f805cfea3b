package io.coriandermux.daemon.guard;

import java.io.IOException;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

import io.coriandermux.core.id.TaskKey;
import io.coriandermux.core.message.Start;
import io.coriandermux.wire.TimeSource;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Sends tasks to the endpoint over HTTP. One thread serves all connections. A connection
 * is opened only if no idle one can be reused, so there are never more connections than
 * tasks that run at the same time.
 */
final class EndpointClient implements AutoCloseable {

	/**
	 * Idle time after which a connection is not reused. An endpoint may close an idle
	 * connection at any moment, and a task that is sent at that moment fails.
	 */
	private static final long MAX_IDLE_NANOS = 1_000_000_000L;

	/**
	 * The head and the body of a request are written separately. Without this option the
	 * body waits for the TCP acknowledgement of the head, which the endpoint may delay by
	 * 40 ms.
	 */
	private static final OptionMap NO_DELAY = OptionMap.create(Options.TCP_NODELAY, true);

	private static final int BUFFER_BYTES = 16 * 1024;

	private final URI url;

	private final TimeSource time;

	private final XnioWorker worker;

	private final XnioIoThread thread;

	private final ByteBufferPool buffers = new DefaultByteBufferPool(false, BUFFER_BYTES);

	private final Map<TaskKey, EndpointCall> calls = new LinkedHashMap<>();

	private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();

	EndpointClient(URI url, TimeSource time) throws IOException {
		this.url = url;
		this.time = time;
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_NAME, "endpoint")
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_TASK_CORE_THREADS, 1)
				.set(Options.WORKER_TASK_MAX_THREADS, 1)
				.set(Options.THREAD_DAEMON, true)
				.getMap());
		this.thread = this.worker.getIoThread();
	}

	/**
	 * Sends a task.
	 * @param start the message that requests the task
	 * @param onResult receives the result on the endpoint thread
	 */
	void run(Start start, Consumer<EndpointResult> onResult) {
		this.thread.execute(() -> send(start, onResult));
	}

	/**
	 * Aborts a task by closing its connection. The result of the task is a failure.
	 * @param task the task
	 */
	void abort(TaskKey task) {
		this.thread.execute(() -> {
			EndpointCall call = this.calls.get(task);
			if (call != null) {
				call.abort();
			}
		});
	}

	@Override
	public void close() {
		this.worker.shutdownNow();
	}

	private void send(Start start, Consumer<EndpointResult> onResult) {
		TaskKey task = start.task();
		EndpointCall[] holder = new EndpointCall[1];
		EndpointCall call = new EndpointCall(start, this.url.getAuthority(), requestPath(start.path()), this.time,
				(result) -> {
					this.calls.remove(task);
					releaseConnection(holder[0].reusableConnection());
					onResult.accept(result);
				});
		holder[0] = call;
		this.calls.put(task, call);
		ClientConnection connection = takeIdleConnection();
		if (connection != null) {
			call.completed(connection);
			return;
		}
		UndertowClient.getInstance().connect(call, this.url, this.thread, this.buffers, NO_DELAY);
	}

	private String requestPath(String path) {
		String base = this.url.getRawPath();
		return (base == null || base.isEmpty() || "/".equals(base)) ? path : base + path;
	}

	private ClientConnection takeIdleConnection() {
		long now = this.time.now().nanos();
		while (!this.idleConnections.isEmpty()) {
			IdleConnection last = this.idleConnections.removeLast();
			if (last.connection.isOpen() && now - last.sinceNanos < MAX_IDLE_NANOS) {
				return last.connection;
			}
			IoUtils.safeClose(last.connection);
		}
		return null;
	}

	private void releaseConnection(ClientConnection connection) {
		long now = this.time.now().nanos();
		while (!this.idleConnections.isEmpty() && now - this.idleConnections.peekFirst().sinceNanos >= MAX_IDLE_NANOS) {
			IoUtils.safeClose(this.idleConnections.removeFirst().connection);
		}
		if (connection != null) {
			this.idleConnections.addLast(new IdleConnection(connection, now));
		}
	}

	/**
	 * An open connection that no task uses.
	 *
	 * @param connection the connection
	 * @param sinceNanos time at which its last task ended, in nanoseconds
	 */
	private record IdleConnection(ClientConnection connection, long sinceNanos) {

	}

}
