package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A path of the network: forwards connections to a port. It can go silent: what is sent
 * then, and the end of a connection, is held back.
 */
final class TcpPath implements AutoCloseable {

	private static final int BUFFER_BYTES = 16 * 1024;

	private final ServerSocket server;

	private final int target;

	private boolean silent;

	private boolean openConnectionsSilent;

	private long silentConnections;

	private long connections;

	TcpPath(int target) throws IOException {
		this.target = target;
		this.server = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
		start(this::accept);
	}

	int port() {
		return this.server.getLocalPort();
	}

	/** Makes the whole path silent, new connections too, or ends that. */
	synchronized void setSilent(boolean value) {
		this.silent = value;
		notifyAll();
	}

	/** Makes the open connections silent for good. New ones work. */
	synchronized void silenceOpenConnections() {
		this.openConnectionsSilent = true;
		this.silentConnections = this.connections;
	}

	private synchronized void awaitPassage(long number) throws InterruptedException {
		while (this.silent || (this.openConnectionsSilent && number <= this.silentConnections)) {
			wait();
		}
	}

	private static void start(Runnable work) {
		Thread thread = new Thread(work, "path");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket from = this.server.accept();
				long number;
				synchronized (this) {
					this.connections++;
					number = this.connections;
				}
				start(() -> connect(from, number));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void connect(Socket from, long number) {
		try {
			awaitPassage(number);
			Socket to = new Socket();
			to.connect(new InetSocketAddress("127.0.0.1", this.target));
			from.setTcpNoDelay(true);
			to.setTcpNoDelay(true);
			start(() -> pump(from, to, number));
			pump(to, from, number);
		}
		catch (IOException ex) {
			close(from);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void pump(Socket from, Socket to, long number) {
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			InputStream in = from.getInputStream();
			OutputStream out = to.getOutputStream();
			int count = in.read(buffer);
			while (count >= 0) {
				awaitPassage(number);
				out.write(buffer, 0, count);
				count = in.read(buffer);
			}
			awaitPassage(number);
		}
		catch (IOException ex) {
			try {
				awaitPassage(number);
			}
			catch (InterruptedException interrupted) {
				Thread.currentThread().interrupt();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		close(from);
		close(to);
	}

	private static void close(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// Closed already.
		}
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

}
