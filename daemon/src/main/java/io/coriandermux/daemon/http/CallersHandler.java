package io.coriandermux.daemon.http;

import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import io.coriandermux.core.api.CallerReply;
import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.JobIdReserved;
import io.coriandermux.core.api.ReserveJobId;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobId;
import io.coriandermux.core.id.OwnerId;
import io.coriandermux.daemon.log.EventLog;
import io.coriandermux.daemon.log.LogEvent;
import io.coriandermux.daemon.run.ProcessMetrics;
import io.coriandermux.wire.TimeSource;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;

/**
 * Handles the HTTP requests of callers. A request that does not reach the decision thread
 * is answered with {@code undecided}, because it is not known here whether an earlier
 * submission of the same job was accepted.
 */
public final class CallersHandler implements HttpHandler {

	private static final String JOBS = "/v1/jobs";

	private static final String JOB_IDS = "/v1/job-ids";

	private static final String BAD_REQUEST = "bad_request";

	private static final String UNDECIDED = "undecided";

	private static final long OVERLOAD_RETRY_MILLIS = 100;

	private static final long DEFAULT_WAIT_MILLIS = 30_000;

	private static final long MAX_WAIT_MILLIS = 300_000;

	private final CallerGateway gateway;

	private final OwnerKeys keys;

	private final TimeSource time;

	private final EventLog log;

	private final ProcessMetrics metrics;

	private final long bodyTimeoutMillis;

	private final RequestParser parser = new RequestParser();

	private final ReplyWriter writer = new ReplyWriter();

	/**
	 * Creates the handler.
	 * @param gateway passes requests to the decision thread
	 * @param keys authenticates the owners
	 * @param bodyTimeoutMillis time limit for receiving a request body in milliseconds
	 * @param time clock of the process
	 * @param log log for refused requests
	 * @param metrics metrics of the process
	 */
	public CallersHandler(CallerGateway gateway, OwnerKeys keys, long bodyTimeoutMillis, TimeSource time, EventLog log,
			ProcessMetrics metrics) {
		this.gateway = gateway;
		this.keys = keys;
		this.bodyTimeoutMillis = bodyTimeoutMillis;
		this.time = time;
		this.log = log;
		this.metrics = metrics;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		long startNanos = this.time.now().nanos();
		exchange.addExchangeCompleteListener((completed, next) -> {
			this.metrics.recordDuration("callers.requests", this.time.now().nanos() - startNanos);
			next.proceed();
		});
		Optional<OwnerId> owner = this.keys.authenticate(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
		if (owner.isEmpty()) {
			this.log.record(LogEvent.CALLER_UNKNOWN, remoteAddress(exchange), "the bearer key is missing or unknown");
			exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
			refuse(exchange, StatusCodes.UNAUTHORIZED, "unauthorized", "the bearer key is missing or unknown");
			return;
		}
		try {
			handleAuthenticated(exchange, owner.get());
		}
		catch (MalformedRequestException ex) {
			refuseMalformed(exchange, owner.get(), ex);
		}
	}

	private void handleAuthenticated(HttpServerExchange exchange, OwnerId owner) throws MalformedRequestException {
		String path = exchange.getRequestPath();
		boolean post = exchange.getRequestMethod().equals(Methods.POST);
		if (path.equals(JOB_IDS) && post) {
			enqueue(exchange, new ReserveJobId(owner));
		}
		else if (path.equals(JOBS) && post) {
			long waitMillis = parseWaitMillis(exchange);
			receiveBody(exchange, owner, waitMillis);
		}
		else if (path.startsWith(JOBS + "/")) {
			JobId job = RequestParser.parseJobId(path.substring(JOBS.length() + 1));
			if (exchange.getRequestMethod().equals(Methods.GET)) {
				enqueue(exchange, new FetchJob(owner, job, parseWaitMillis(exchange)));
			}
			else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
				enqueue(exchange, new CancelJob(owner, job));
			}
			else {
				refuse(exchange, StatusCodes.METHOD_NOT_ALLOWED, BAD_REQUEST, "GET or DELETE is expected");
			}
		}
		else if (path.equals(JOBS) || path.equals(JOB_IDS)) {
			refuse(exchange, StatusCodes.METHOD_NOT_ALLOWED, BAD_REQUEST, "POST is expected");
		}
		else {
			refuse(exchange, StatusCodes.NOT_FOUND, BAD_REQUEST, "no such resource");
		}
	}

	private void receiveBody(HttpServerExchange exchange, OwnerId owner, long waitMillis) {
		AtomicBoolean handled = new AtomicBoolean();
		exchange.getIoThread().executeAfter(() -> {
			if (handled.compareAndSet(false, true)) {
				this.metrics.count("callers.refused");
				JsonReplySender.sendAndClose(exchange, this.writer.error(StatusCodes.REQUEST_TIME_OUT, UNDECIDED,
						BAD_REQUEST, "the body did not arrive within " + this.bodyTimeoutMillis + " ms", 0));
			}
		}, this.bodyTimeoutMillis, TimeUnit.MILLISECONDS);
		exchange.getRequestReceiver().receiveFullBytes((completed, body) -> {
			if (handled.compareAndSet(false, true)) {
				submitJob(exchange, owner, body, waitMillis);
			}
		}, (failed, ex) -> {
			if (handled.compareAndSet(false, true)) {
				boolean tooLarge = ex instanceof RequestTooBigException;
				refuse(exchange, tooLarge ? StatusCodes.REQUEST_ENTITY_TOO_LARGE : StatusCodes.BAD_REQUEST, BAD_REQUEST,
						tooLarge ? "the body exceeds the limit" : "the body ended early");
			}
		});
	}

	private void submitJob(HttpServerExchange exchange, OwnerId owner, byte[] body, long waitMillis) {
		try {
			Submission submission = this.parser.parseSubmission(owner, body, waitMillis, this.time.now().epochMillis());
			if (submission.id().isPresent()) {
				enqueue(exchange, submission.toRequest().apply(submission.id().get()));
				return;
			}
			exchange.dispatch(SameThreadExecutor.INSTANCE, () -> reserveIdAndSubmit(exchange, owner, submission));
		}
		catch (MalformedRequestException ex) {
			refuseMalformed(exchange, owner, ex);
		}
	}

	private void reserveIdAndSubmit(HttpServerExchange exchange, OwnerId owner, Submission submission) {
		enqueue(exchange, new ReserveJobId(owner), (reply) -> {
			if (reply instanceof JobIdReserved reserved) {
				SubmitJob submit = submission.toRequest().apply(reserved.job());
				exchange.getIoThread()
					.execute(() -> enqueue(exchange, submit, (outcome) -> sendOnIoThread(exchange, outcome)));
			}
			else {
				sendOnIoThread(exchange, reply);
			}
		});
	}

	private void enqueue(HttpServerExchange exchange, CallerRequest request) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> enqueue(exchange, request, (reply) -> sendOnIoThread(exchange, reply)));
	}

	private void enqueue(HttpServerExchange exchange, CallerRequest request, Consumer<CallerReply> replyConsumer) {
		if (!this.gateway.enqueue(request, replyConsumer)) {
			JsonReply reply = this.writer.error(StatusCodes.SERVICE_UNAVAILABLE, UNDECIDED, "overloaded",
					"too many requests wait", OVERLOAD_RETRY_MILLIS);
			exchange.getIoThread().execute(() -> send(exchange, reply));
		}
	}

	private void sendOnIoThread(HttpServerExchange exchange, CallerReply reply) {
		exchange.getIoThread().execute(() -> send(exchange, this.writer.write(reply)));
	}

	private void refuseMalformed(HttpServerExchange exchange, OwnerId owner, MalformedRequestException ex) {
		this.log.record(LogEvent.REQUEST_MALFORMED, owner.value(), ex.getMessage());
		refuse(exchange, StatusCodes.BAD_REQUEST, BAD_REQUEST, ex.getMessage());
	}

	private void refuse(HttpServerExchange exchange, int status, String code, String reason) {
		this.metrics.count("callers.refused");
		send(exchange, this.writer.error(status, UNDECIDED, code, reason, 0));
	}

	private static void send(HttpServerExchange exchange, JsonReply reply) {
		JsonReplySender.send(exchange, reply);
	}

	private static String remoteAddress(HttpServerExchange exchange) {
		return exchange.getSourceAddress().getAddress().getHostAddress();
	}

	private static long parseWaitMillis(HttpServerExchange exchange) throws MalformedRequestException {
		Deque<String> values = exchange.getQueryParameters().get("waitMs");
		if (values == null) {
			return DEFAULT_WAIT_MILLIS;
		}
		String text = values.getFirst();
		if (values.size() > 1 || !text.matches("[0-9]{1,9}") || Long.parseLong(text) > MAX_WAIT_MILLIS) {
			throw new MalformedRequestException("waitMs: a whole number from 0 to " + MAX_WAIT_MILLIS + " is expected");
		}
		return Long.parseLong(text);
	}

}
