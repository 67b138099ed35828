package org.crocusgrade.daemon.upstream;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.crocusgrade.core.dispatch.RunEnd;

/**
 * One HTTP exchange with a worker for one attempt.
 *
 * <p>It ends once: with the complete answer, a failure or the time limit, whichever comes first. If
 * it ends after its request was written and without a complete answer that belongs to the attempt,
 * the connection is closed. Otherwise bytes of this exchange that arrive later could be taken for
 * the answer to the next request on that connection.
 */
final class AttemptCall {
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final int REFUSAL_STATUS = 503;
    private static final int MIN_FAILURE_STATUS = 500;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private static final Map<String, RunEnd> REFUSALS =
            Map.of(
                    "slots", RunEnd.REFUSED_SLOTS,
                    "connections", RunEnd.REFUSED_CONNECTIONS,
                    "leaving", RunEnd.REFUSED_LEAVING);

    private final RunCall call;
    private final Promise<RunResult> promise = Promise.promise();
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile HttpClientRequest request;

    AttemptCall(RunCall call) {
        this.call = call;
    }

    Future<RunResult> future() {
        return promise.future();
    }

    /** Ends the attempt because no connection could be obtained; no byte was written. */
    void onConnectFailed() {
        complete(RunResult.withoutAnswer(RunEnd.NOT_SENT));
    }

    /**
     * Writes the request to its connection, unless the attempt has ended or its slot's lease is no
     * longer valid.
     */
    void onConnected(HttpClientRequest connected) {
        request = connected;
        if (ended.get()) {
            connected.reset();
            return;
        }
        if (!call.mayStart().getAsBoolean()) {
            complete(RunResult.withoutAnswer(RunEnd.LEASE_LOST));
            connected.reset();
            return;
        }
        connected.exceptionHandler(e -> fail(RunEnd.CONNECTION_LOST));
        for (Map.Entry<String, String> header : call.headers()) {
            if (WorkerClient.isEndToEnd(header.getKey())) {
                connected.headers().add(header.getKey(), header.getValue());
            }
        }
        connected.putHeader(WorkerClient.REQUEST, call.attempt().value());
        connected.putHeader(WorkerClient.SERVICE, call.service().value());
        connected.putHeader(WorkerClient.POOL, call.pool().value());
        connected
                .send(call.body())
                .onSuccess(this::onResponseHead)
                .onFailure(e -> fail(RunEnd.CONNECTION_LOST));
    }

    /**
     * Ends the attempt at its time limit: not sent if no connection was obtained, else timed out.
     */
    void expire() {
        boolean sent = request != null;
        fail(sent ? RunEnd.TIMED_OUT : RunEnd.NOT_SENT);
    }

    private void onResponseHead(HttpClientResponse response) {
        if (!belongsToAttempt(response)) {
            response.exceptionHandler(e -> fail(RunEnd.ANSWER_CUT));
            fail(RunEnd.ANSWER_MISMATCH);
            return;
        }
        response.body()
                .onSuccess(body -> onBody(response, body))
                .onFailure(e -> fail(RunEnd.ANSWER_CUT));
    }

    private boolean belongsToAttempt(HttpClientResponse response) {
        MultiMap headers = response.headers();
        boolean echoed = call.attempt().value().equals(headers.get(WorkerClient.REQUEST));
        return echoed && (headers.contains(CONTENT_LENGTH) || isBodiless(response));
    }

    private boolean isBodiless(HttpClientResponse response) {
        int status = response.statusCode();
        return call.method().equals(HttpMethod.HEAD)
                || status == NO_CONTENT
                || status == NOT_MODIFIED;
    }

    private void onBody(HttpClientResponse response, Buffer body) {
        MultiMap headers = response.headers();
        int status = response.statusCode();
        String length = headers.get(CONTENT_LENGTH);
        if (!isBodiless(response) && !Integer.toString(body.length()).equals(length)) {
            fail(RunEnd.ANSWER_MISMATCH);
            return;
        }
        String refusalCode = headers.get(WorkerClient.REFUSED);
        if (status == REFUSAL_STATUS && refusalCode != null && REFUSALS.containsKey(refusalCode)) {
            complete(RunResult.withoutAnswer(REFUSALS.get(refusalCode)));
            return;
        }
        Answer answer = new Answer(status, headers, body);
        RunEnd end = status >= MIN_FAILURE_STATUS ? RunEnd.ANSWERED_FAILURE : RunEnd.ANSWERED;
        complete(new RunResult(end, Optional.of(answer)));
    }

    private void fail(RunEnd end) {
        HttpClientRequest activeRequest = request;
        if (complete(RunResult.withoutAnswer(end)) && activeRequest != null) {
            activeRequest.reset();
            activeRequest.connection().close();
        }
    }

    private boolean complete(RunResult result) {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        promise.complete(result);
        return true;
    }
}
