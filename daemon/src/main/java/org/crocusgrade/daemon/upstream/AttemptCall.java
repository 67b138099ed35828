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
 * One attempt on its way to a worker and back.
 *
 * <p>It ends once, by whatever comes first: its answer, a failure, or its time limit. Whenever it
 * ends without a whole answer of its own its connection is closed, so that nothing of this exchange
 * that still arrives can be taken for the answer of the next one on that connection.
 */
final class AttemptCall {
    private static final String CONTENT_LENGTH = "Content-Length";
    private static final int REFUSAL_STATUS = 503;
    private static final int FIRST_FAILURE_STATUS = 500;
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

    /** Takes it that no connection could be had; not a byte was written. */
    void notConnected() {
        end(RunResult.without(RunEnd.NOT_SENT));
    }

    /** Takes the connection and writes the request. */
    void connected(HttpClientRequest connected) {
        request = connected;
        if (ended.get()) {
            connected.reset();
            return;
        }
        if (!call.mayStart().getAsBoolean()) {
            end(RunResult.without(RunEnd.LEASE_LOST));
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
                .onSuccess(this::head)
                .onFailure(e -> fail(RunEnd.CONNECTION_LOST));
    }

    /** Gives the attempt up because its time is over. */
    void expire() {
        boolean sent = request != null;
        fail(sent ? RunEnd.TIMED_OUT : RunEnd.NOT_SENT);
    }

    private void head(HttpClientResponse response) {
        if (!isOwn(response)) {
            response.exceptionHandler(e -> fail(RunEnd.ANSWER_CUT));
            fail(RunEnd.ANSWER_MISMATCH);
            return;
        }
        response.body()
                .onSuccess(body -> whole(response, body))
                .onFailure(e -> fail(RunEnd.ANSWER_CUT));
    }

    private boolean isOwn(HttpClientResponse response) {
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

    private void whole(HttpClientResponse response, Buffer body) {
        MultiMap headers = response.headers();
        int status = response.statusCode();
        String length = headers.get(CONTENT_LENGTH);
        if (!isBodiless(response) && !Integer.toString(body.length()).equals(length)) {
            fail(RunEnd.ANSWER_MISMATCH);
            return;
        }
        String refused = headers.get(WorkerClient.REFUSED);
        if (status == REFUSAL_STATUS && refused != null && REFUSALS.containsKey(refused)) {
            end(RunResult.without(REFUSALS.get(refused)));
            return;
        }
        Answer answer = new Answer(status, headers, body);
        RunEnd end = status >= FIRST_FAILURE_STATUS ? RunEnd.ANSWERED_FAILURE : RunEnd.ANSWERED;
        end(new RunResult(end, Optional.of(answer)));
    }

    private void fail(RunEnd end) {
        HttpClientRequest open = request;
        if (end(RunResult.without(end)) && open != null) {
            open.reset();
            open.connection().close();
        }
    }

    private boolean end(RunResult result) {
        if (!ended.compareAndSet(false, true)) {
            return false;
        }
        promise.complete(result);
        return true;
    }
}
