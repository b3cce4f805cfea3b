package io.coriandermux.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A loopback proxy that delays, silences, or resets the connections through it.
 */
final class FaultProxy implements AutoCloseable {

	/** What happens to the bytes of open connections. */
	enum Mode {

		/** They pass. */
		PASS,

		/** They pass late. */
		DELAY,

		/** Bytes to the target are dropped. */
		CUT_FORTH,

		/** Bytes from the target are dropped. */
		CUT_BACK,

		/** Bytes of both directions are dropped. */
		SILENT

	}

	private static final int BUFFER_BYTES = 64 * 1024;

	private static final long DELAY_MILLIS = 60;

	private final ServerSocket server;

	private final int target;

	private final Set<Pair> open = ConcurrentHashMap.newKeySet();

	private volatile Mode mode = Mode.PASS;

	FaultProxy(int target) throws IOException {
		this.target = target;
		this.server = new ServerSocket(0, 128, InetAddress.getLoopbackAddress());
		daemon(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	// Connections that were silenced stay so; only new ones work again.
	void mode(Mode next) {
		Mode former = this.mode;
		this.mode = next;
		if (next == Mode.PASS && former != Mode.DELAY) {
			this.open.forEach((pair) -> pair.dead = former);
		}
	}

	void reset() {
		this.open.forEach(Pair::reset);
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket near = this.server.accept();
				Socket far = new Socket();
				try {
					far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), this.target), 1000);
				}
				catch (IOException ex) {
					// The target does not listen: the caller sees a refused connection.
					near.setSoLinger(true, 0);
					near.close();
					continue;
				}
				near.setTcpNoDelay(true);
				far.setTcpNoDelay(true);
				Pair pair = new Pair(near, far);
				this.open.add(pair);
				daemon(() -> pump(pair, near, far, Mode.CUT_FORTH));
				daemon(() -> pump(pair, far, near, Mode.CUT_BACK));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void pump(Pair pair, Socket from, Socket to, Mode cut) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
				Mode now = (pair.dead != null) ? pair.dead : this.mode;
				if (now == Mode.DELAY) {
					new CountDownLatch(1).await(DELAY_MILLIS, TimeUnit.MILLISECONDS);
				}
				if (now != Mode.SILENT && now != cut) {
					out.write(buffer, 0, read);
				}
			}
			to.shutdownOutput();
		}
		catch (IOException ex) {
			pair.reset();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			if (pair.ended.incrementAndGet() == 2) {
				this.open.remove(pair);
				pair.close();
			}
		}
	}

	private static void daemon(Runnable work) {
		Thread thread = new Thread(work, "fault-proxy");
		thread.setDaemon(true);
		thread.start();
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		reset();
	}

	private static final class Pair {

		private final Socket near;

		private final Socket far;

		private volatile Mode dead;

		private final AtomicInteger ended = new AtomicInteger();

		Pair(Socket near, Socket far) {
			this.near = near;
			this.far = far;
		}

		void reset() {
			try {
				this.near.setSoLinger(true, 0);
				this.far.setSoLinger(true, 0);
			}
			catch (IOException ex) {
				// The socket is closed already.
				this.dead = Mode.SILENT;
			}
			close();
		}

		void close() {
			try {
				this.near.close();
				this.far.close();
			}
			catch (IOException ex) {
				this.dead = Mode.SILENT;
			}
		}

	}

}
