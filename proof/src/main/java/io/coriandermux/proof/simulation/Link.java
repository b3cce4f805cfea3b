package io.coriandermux.proof.simulation;

/**
 * The connection between two processes, identified by the process that opens it and the
 * one that accepts it. Each new connection increments the generation.
 */
final class Link {

	private final String opener;

	private final String acceptor;

	private int generation;

	private SimulatedProcess openerEnd;

	private SimulatedProcess acceptorEnd;

	private boolean silent;

	private long lastArrivalAtAcceptor;

	private long lastArrivalAtOpener;

	Link(String opener, String acceptor) {
		this.opener = opener;
		this.acceptor = acceptor;
	}

	String opener() {
		return this.opener;
	}

	String acceptor() {
		return this.acceptor;
	}

	String peerOf(SimulatedProcess process) {
		return process.name().equals(this.opener) ? this.acceptor : this.opener;
	}

	int generation() {
		return this.generation;
	}

	void establish(SimulatedProcess openerProcess, SimulatedProcess acceptorProcess) {
		this.generation++;
		this.openerEnd = openerProcess;
		this.acceptorEnd = acceptorProcess;
		this.silent = false;
	}

	// Returns the process at the other end, or null if the process is not an end
	// of the current connection.
	SimulatedProcess otherEnd(SimulatedProcess process) {
		return (process == this.openerEnd) ? this.acceptorEnd : (process == this.acceptorEnd) ? this.openerEnd : null;
	}

	boolean isSilent() {
		return this.silent;
	}

	// Drops all messages until a new connection is established.
	void silence() {
		this.silent = true;
	}

	// Returns an arrival time after all earlier messages of the same direction.
	long nextArrival(boolean toAcceptor, long earliest) {
		if (toAcceptor) {
			this.lastArrivalAtAcceptor = Math.max(this.lastArrivalAtAcceptor + 1, earliest);
			return this.lastArrivalAtAcceptor;
		}
		this.lastArrivalAtOpener = Math.max(this.lastArrivalAtOpener + 1, earliest);
		return this.lastArrivalAtOpener;
	}

}
