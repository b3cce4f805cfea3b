package io.coriandermux.cli;

import java.io.IOException;
import java.nio.file.NoSuchFileException;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.coriandermux.config.InvalidTablesException;
import io.coriandermux.config.TableError;
import io.coriandermux.core.id.InvalidIdentifierException;
import io.coriandermux.http.HttpCallException;
import io.coriandermux.store.StoreException;
import io.coriandermux.store.StoreRejectedException;
import io.coriandermux.store.StoreUnavailableException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;

/**
 * Reports a failed command as text on standard error, or as JSON on standard output.
 */
final class CommandFailureHandler implements IExecutionExceptionHandler {

	@Override
	public int handleExecutionException(Exception ex, CommandLine line, ParseResult result) {
		CliException failure = toCliException(ex);
		if (result.expandedArgs().contains(OutputOptions.JSON)) {
			line.getOut().println(failure.toJson().toPrettyString());
		}
		else {
			line.getErr().println("coriandermux: " + failure.code().text() + ": " + failure.getMessage());
		}
		return failure.code().number();
	}

	private static CliException toCliException(Exception ex) {
		if (ex instanceof CliException) {
			return (CliException) ex;
		}
		if (ex instanceof InvalidTablesException) {
			return invalidTables((InvalidTablesException) ex);
		}
		if (ex instanceof InvalidIdentifierException) {
			return new CliException(ExitCode.INVALID, ex.getMessage());
		}
		if (ex instanceof StoreException) {
			return storeFailure((StoreException) ex);
		}
		if (ex instanceof HttpCallException) {
			return new CliException(ExitCode.UNAVAILABLE, ex.getMessage());
		}
		if (ex instanceof NoSuchFileException) {
			return new CliException(ExitCode.NOT_FOUND, "there is no file " + ex.getMessage());
		}
		if (ex instanceof IOException) {
			return new CliException(ExitCode.INVALID, "the input cannot be read: " + ex.getMessage());
		}
		return new CliException(ExitCode.INTERNAL, ex.toString());
	}

	private static CliException invalidTables(InvalidTablesException ex) {
		ObjectNode details = JsonNodeFactory.instance.objectNode();
		ArrayNode errors = details.putArray("errors");
		for (TableError error : ex.errors()) {
			errors.addObject()
				.put("document", error.document())
				.put("place", error.pointer())
				.put("rule", error.rule().text())
				.put("message", error.message());
		}
		return new CliException(ExitCode.INVALID, ex.getMessage(), details);
	}

	private static CliException storeFailure(StoreException ex) {
		if (ex instanceof StoreUnavailableException) {
			return new CliException(ExitCode.UNAVAILABLE, ex.getMessage() + ": " + ex.getCause().getMessage());
		}
		return new CliException((ex instanceof StoreRejectedException) ? ExitCode.REFUSED : ExitCode.CONFLICT,
				ex.getMessage());
	}

}
