package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/**
 * HTTP/1.1 client with one connection for each request.
 */
final class Http {

	private Http() {
	}

	record Reply(int status, String body) {
	}

	static Reply send(int port, String method, String path, String host, Map<String, String> headers, String body,
			int timeoutMillis) throws IOException {
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress("127.0.0.1", port), timeoutMillis);
			socket.setSoTimeout(timeoutMillis);
			byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (bytes.length > 0) {
				head.append("Content-Type: application/json\r\n");
			}
			head.append("Content-Length: ").append(bytes.length).append("\r\n\r\n");
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.write(head.toString().getBytes(StandardCharsets.US_ASCII));
			request.write(bytes);
			socket.getOutputStream().write(request.toByteArray());
			socket.getOutputStream().flush();
			return read(new BufferedInputStream(socket.getInputStream()));
		}
	}

	private static Reply read(InputStream in) throws IOException {
		int status = Integer.parseInt(line(in).split(" ")[1]);
		int length = 0;
		String header = line(in);
		while (!header.isEmpty()) {
			if (header.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
				length = Integer.parseInt(header.substring(header.indexOf(':') + 1).trim());
			}
			header = line(in);
		}
		return new Reply(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		int next = in.read();
		while (next != '\n') {
			if (next < 0) {
				throw new EOFException("the connection ended without a complete answer");
			}
			if (next != '\r') {
				text.write(next);
			}
			next = in.read();
		}
		return text.toString(StandardCharsets.UTF_8);
	}

}
