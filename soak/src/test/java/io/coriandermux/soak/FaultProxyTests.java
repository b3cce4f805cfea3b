package io.coriandermux.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against faults of connections that have no effect, or another one than the plan
 * says.
 */
class FaultProxyTests {

	private static final int QUIET_MILLIS = 300;

	private ProxyLoop loop;

	private ServerSocket server;

	private FaultProxy proxy;

	private Socket client;

	private Socket target;

	@BeforeProperty
	void connect() throws IOException {
		this.loop = new ProxyLoop();
		this.server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		this.proxy = new FaultProxy(this.loop, this.server.getLocalPort());
		this.client = new Socket(InetAddress.getLoopbackAddress(), this.proxy.port());
		this.target = this.server.accept();
		this.client.setSoTimeout(QUIET_MILLIS);
		this.target.setSoTimeout(QUIET_MILLIS);
	}

	@AfterProperty
	void disconnect() throws IOException {
		this.client.close();
		this.target.close();
		this.server.close();
		this.loop.close();
	}

	@Example
	void forwardsBytesAndEndsInBothDirections() throws IOException {
		transfer(this.client, this.target, 1);
		transfer(this.target, this.client, 2);
		this.client.shutdownOutput();
		assertThat(this.target.getInputStream().read()).isEqualTo(-1);
		transfer(this.target, this.client, 3);
		this.target.close();
		assertThat(this.client.getInputStream().read()).isEqualTo(-1);
	}

	@Example
	void forwardsMoreThanTheBuffersHold() throws Exception {
		byte[] bytes = new byte[8 << 20];
		bytes[bytes.length - 1] = 7;
		Thread writer = new Thread(() -> {
			try {
				this.client.getOutputStream().write(bytes);
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
		});
		writer.start();
		assertThat(this.target.getInputStream().readNBytes(bytes.length)).isEqualTo(bytes);
		writer.join();
	}

	@Example
	void refusesOpenAndNewConnectionsUntilTheFaultIsOver() throws IOException {
		this.proxy.setMode(FaultProxy.Mode.REFUSE);
		assertIsReset(this.client);
		assertIsReset(this.target);
		try (Socket refused = new Socket(InetAddress.getLoopbackAddress(), this.proxy.port())) {
			refused.setSoTimeout(QUIET_MILLIS);
			assertIsReset(refused);
		}
		this.proxy.setMode(FaultProxy.Mode.PASS);
		this.server.setSoTimeout(QUIET_MILLIS);
		boolean forwarded = false;
		// The thread of the proxies applies the mode, perhaps after the first connection.
		for (int attempt = 0; attempt < 5 && !forwarded; attempt++) {
			forwarded = forwardsANewConnection();
		}
		assertThat(forwarded).isTrue();
	}

	private boolean forwardsANewConnection() throws IOException {
		try (Socket accepted = new Socket(InetAddress.getLoopbackAddress(), this.proxy.port());
				Socket acceptedTarget = this.server.accept()) {
			acceptedTarget.setSoTimeout(QUIET_MILLIS);
			transfer(accepted, acceptedTarget, 1);
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	@Example
	void aResetReachesBothSides() {
		this.proxy.reset();
		assertIsReset(this.client);
		assertIsReset(this.target);
	}

	@Example
	void aResetOfTheClientReachesTheTarget() throws IOException {
		this.client.setSoLinger(true, 0);
		this.client.close();
		assertIsReset(this.target);
	}

	@Example
	void aCutDropsBytesForGoodAndOnlyOnOpenConnections() throws IOException {
		this.proxy.setMode(FaultProxy.Mode.CUT_FORTH);
		this.client.getOutputStream().write(1);
		assertIsQuiet(this.target);
		transfer(this.target, this.client, 2);
		this.proxy.setMode(FaultProxy.Mode.PASS);
		this.client.getOutputStream().write(3);
		assertIsQuiet(this.target);
		try (Socket next = new Socket(InetAddress.getLoopbackAddress(), this.proxy.port());
				Socket accepted = this.server.accept()) {
			transfer(next, accepted, 4);
		}
	}

	@Example
	void aDelayedLinkKeepsTheOrder() throws IOException {
		this.proxy.setMode(FaultProxy.Mode.DELAY);
		long startMillis = ProxyLoop.nowMillis();
		this.client.getOutputStream().write(1);
		this.client.getOutputStream().write(2);
		this.client.close();
		assertThat(this.target.getInputStream().readAllBytes()).containsExactly(1, 2);
		assertThat(ProxyLoop.nowMillis() - startMillis).isGreaterThanOrEqualTo(60);
	}

	@Example
	void aHalfOpenConnectionIsResetForTheClientAndOpenForTheTargetUntilTheRelease() throws IOException {
		this.client.getOutputStream().write(1);
		assertThat(this.target.getInputStream().read()).isEqualTo(1);
		this.proxy.impair(FaultProxy.Mode.HOLD, FaultProxy.ResetSide.CLIENT, 100, 1);
		assertIsReset(this.client);
		this.target.getOutputStream().write(2);
		assertIsQuiet(this.target);
		this.proxy.release(1);
		assertIsReset(this.target);
	}

	@Example
	void theEndOfAnEarlierImpairmentDoesNotEndALaterOne() throws IOException {
		this.proxy.impair(FaultProxy.Mode.HOLD_FORTH, FaultProxy.ResetSide.NONE, 100, 1);
		this.proxy.impair(FaultProxy.Mode.HOLD, FaultProxy.ResetSide.CLIENT, 100, 2);
		assertIsReset(this.client);
		this.proxy.release(1);
		assertIsQuiet(this.target);
		this.proxy.release(2);
		assertIsReset(this.target);
	}

	@Example
	void aConnectionThatIsResetForTheTargetStaysOpenForTheClientUntilTheRelease() throws IOException {
		this.proxy.impair(FaultProxy.Mode.HOLD, FaultProxy.ResetSide.TARGET, 100, 1);
		assertIsReset(this.target);
		this.client.getOutputStream().write(1);
		assertIsQuiet(this.client);
		this.proxy.release(1);
		assertIsReset(this.client);
	}

	@Example
	void aHeldConnectionDeliversBytesAndEndLate() throws IOException {
		this.proxy.impair(FaultProxy.Mode.HOLD_FORTH, FaultProxy.ResetSide.NONE, 100, 1);
		transfer(this.target, this.client, 1);
		this.client.getOutputStream().write(2);
		this.client.close();
		assertIsQuiet(this.target);
		this.proxy.release(1);
		assertThat(this.target.getInputStream().readAllBytes()).containsExactly(2);
	}

	@Example
	void aHeldRequestIsDeliveredAfterItsClientWasResetAndItsEndRightBehindIt() throws IOException {
		this.proxy.holdRequests(new RequestHold(100, 500, 1, 20, 0), 1);
		this.client.getOutputStream().write(1);
		assertIsReset(this.client);
		assertIsQuiet(this.target);
		assertThat(this.target.getInputStream().read()).isEqualTo(1);
		assertIsReset(this.target);
	}

	@Example
	void aHeldRequestOfAClientThatLeavesIsDeliveredAndItsEndIsHeldLonger() throws IOException {
		this.proxy.holdRequests(new RequestHold(100, 500, 1, -1, 1_000), 1);
		this.client.getOutputStream().write(1);
		this.client.close();
		assertIsQuiet(this.target);
		assertThat(this.target.getInputStream().read()).isEqualTo(1);
		assertIsQuiet(this.target);
		this.target.setSoTimeout(5_000);
		assertThat(this.target.getInputStream().read()).isEqualTo(-1);
	}

	@Example
	void requestsAfterTheHoldAreForwardedAtOnce() throws IOException {
		this.proxy.holdRequests(new RequestHold(100, 500, 1, -1, 0), 1);
		this.proxy.stopHolding();
		transfer(this.client, this.target, 1);
	}

	@Example
	void aLateEndFollowsTheBytesAfterADelay() throws IOException {
		this.proxy.impair(FaultProxy.Mode.LATE_CLOSE, FaultProxy.ResetSide.NONE, 100, 1);
		long startMillis = ProxyLoop.nowMillis();
		this.client.getOutputStream().write(1);
		this.client.close();
		this.target.setSoTimeout(5_000);
		assertThat(this.target.getInputStream().read()).isEqualTo(1);
		assertThat(this.target.getInputStream().read()).isEqualTo(-1);
		assertThat(ProxyLoop.nowMillis() - startMillis).isGreaterThanOrEqualTo(100);
	}

	@Example
	void aConnectionThatTheTargetRefusesIsResetAndKnownAsRefused() throws IOException {
		this.server.close();
		try (Socket next = new Socket(InetAddress.getLoopbackAddress(), this.proxy.port())) {
			next.setSoTimeout(5_000);
			assertIsReset(next);
			assertThat(this.proxy.hasRefused(next.getLocalPort())).isTrue();
			assertThat(this.proxy.hasRefused(this.client.getLocalPort())).isFalse();
		}
	}

	@Example
	void knowsThatItWasLate() throws Exception {
		CountDownLatch measured = new CountDownLatch(1);
		this.loop.execute(() -> {
			try {
				new CountDownLatch(1).await(QUIET_MILLIS, TimeUnit.MILLISECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		this.loop.executeAfter(2 * QUIET_MILLIS, measured::countDown);
		assertThat(measured.await(5, TimeUnit.SECONDS)).isTrue();
		assertThat(this.loop.maxLagMillis()).isGreaterThanOrEqualTo(QUIET_MILLIS - 100);
	}

	private static void transfer(Socket from, Socket to, int value) throws IOException {
		from.getOutputStream().write(value);
		assertThat(to.getInputStream().read()).isEqualTo(value);
	}

	private static void assertIsReset(Socket socket) {
		assertThatExceptionOfType(SocketException.class).isThrownBy(() -> socket.getInputStream().read())
			.withMessage("Connection reset");
	}

	private static void assertIsQuiet(Socket socket) {
		assertThatExceptionOfType(SocketTimeoutException.class).isThrownBy(() -> socket.getInputStream().read());
	}

}
