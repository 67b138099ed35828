package org.crocusgrade.daemon.edge;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.Objects;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.fleet.Slot;
import org.crocusgrade.daemon.upstream.RunResult;

/**
 * A caller's request with all that is needed to run and answer it. Its mutable fields are accessed
 * only from the mailbox of the service's flow.
 */
final class Exchange {
    final Request request;
    final HttpMethod method;
    final String path;
    final MultiMap headers;
    final Buffer body;
    final Responder responder;
    Slot slot;
    RunResult result;

    Exchange(
            Request request,
            HttpMethod method,
            String path,
            MultiMap headers,
            Buffer body,
            Responder responder) {
        this.request = Objects.requireNonNull(request);
        this.method = Objects.requireNonNull(method);
        this.path = Objects.requireNonNull(path);
        this.headers = Objects.requireNonNull(headers);
        this.body = Objects.requireNonNull(body);
        this.responder = Objects.requireNonNull(responder);
    }
}
