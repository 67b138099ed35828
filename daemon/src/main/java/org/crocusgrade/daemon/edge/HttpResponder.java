package org.crocusgrade.daemon.edge;

import io.vertx.core.Context;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.daemon.metrics.DaemonMetrics;
import org.crocusgrade.daemon.upstream.Answer;
import org.crocusgrade.daemon.upstream.WorkerClient;

/**
 * Writes the final answer to a caller's HTTP connection: a worker's answer, or a problem document
 * (RFC 9457) with outcome and reason. Writes nothing if the response has ended or the connection is
 * closed.
 */
final class HttpResponder implements Responder {
    static final String OUTCOME = "Crocusgrade-Outcome";
    static final String REASON = "Crocusgrade-Reason";
    static final String RETRY_AFTER_MILLIS = "Crocusgrade-Retry-After-Ms";

    private static final String RETRY_AFTER = "Retry-After";
    private static final String PROBLEM_MEDIA_TYPE = "application/problem+json";
    private static final String PROBLEM_TYPE_PREFIX = "urn:crocusgrade:reason:";

    private final Context context;
    private final HttpServerResponse response;
    private final ServiceId service;
    private final DaemonMetrics metrics;

    HttpResponder(
            Context context,
            HttpServerResponse response,
            ServiceId service,
            DaemonMetrics metrics) {
        this.context = context;
        this.response = response;
        this.service = service;
        this.metrics = metrics;
    }

    @Override
    public void deliver(Answer answer) {
        metrics.answered(service, Reason.OK);
        context.runOnContext(v -> writeAnswer(answer));
    }

    @Override
    public void refuse(Reason reason, Optional<Duration> retryAfter) {
        metrics.answered(service, reason);
        context.runOnContext(v -> writeProblem(reason, retryAfter));
    }

    private void writeAnswer(Answer answer) {
        if (response.closed() || response.ended()) {
            return;
        }
        for (Map.Entry<String, String> header : answer.headers()) {
            if (WorkerClient.isEndToEnd(header.getKey())) {
                response.headers().add(header.getKey(), header.getValue());
            }
        }
        response.putHeader(OUTCOME, Outcome.COMPLETED.word);
        response.putHeader(REASON, Reason.OK.code);
        response.setStatusCode(answer.status()).end(answer.body());
    }

    private void writeProblem(Reason reason, Optional<Duration> retryAfter) {
        if (response.closed() || response.ended()) {
            return;
        }
        response.putHeader(OUTCOME, reason.outcome.word);
        response.putHeader(REASON, reason.code);
        retryAfter.ifPresent(this::putRetryAfter);
        JsonObject problem =
                new JsonObject()
                        .put("type", PROBLEM_TYPE_PREFIX + reason.code)
                        .put("title", reason.text)
                        .put("status", reason.status)
                        .put("outcome", reason.outcome.word);
        response.putHeader("Content-Type", PROBLEM_MEDIA_TYPE);
        response.setStatusCode(reason.status).end(problem.toBuffer());
    }

    private void putRetryAfter(Duration retryAfter) {
        long millis = Math.max(1, retryAfter.toMillis());
        long millisPerSecond = TimeUnit.SECONDS.toMillis(1);
        response.putHeader(RETRY_AFTER_MILLIS, Long.toString(millis));
        response.putHeader(
                RETRY_AFTER, Long.toString((millis + millisPerSecond - 1) / millisPerSecond));
    }
}
