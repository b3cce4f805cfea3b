package io.coriandermux.daemon.run;

import java.io.IOException;
import java.lang.reflect.Proxy;

/**
 * Installs a handler for SIGHUP, whose default action terminates the Java virtual
 * machine. {@code sun.misc.Signal} has no public replacement, and the compiler warns
 * about its direct use, so it is called by reflection.
 */
final class HangUpSignal {

	private HangUpSignal() {
	}

	static void install(Runnable action) throws IOException {
		try {
			Class<?> signal = Class.forName("sun.misc.Signal");
			Class<?> handler = Class.forName("sun.misc.SignalHandler");
			Object proxy = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] { handler },
					(self, method, arguments) -> {
						if ("handle".equals(method.getName())) {
							action.run();
						}
						return null;
					});
			signal.getMethod("handle", signal, handler)
				.invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
		}
		catch (ReflectiveOperationException ex) {
			throw new IOException("cannot install a handler for SIGHUP", ex);
		}
	}

}
