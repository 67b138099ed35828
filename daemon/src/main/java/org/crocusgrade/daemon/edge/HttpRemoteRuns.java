package org.crocusgrade.daemon.edge;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.edge.KeyedRequests.KeyedRequest;
import org.crocusgrade.daemon.upstream.Answer;

/**
 * Requests the answer of a run from the daemon that holds the claim, at that daemon's address for
 * callers. The request has no body and carries the header {@link #ATTACH}, so the holder answers it
 * from an existing run and never starts one.
 */
public final class HttpRemoteRuns implements RemoteRuns {
    /** The header that carries the original request's fingerprint in hexadecimal. */
    static final String ATTACH = "Crocusgrade-Attach";

    private static final int HEX_RADIX = 16;

    private final HttpClient client;
    private final Clock clock;
    private final Supplier<Map<DaemonId, MemberRecord>> members;

    /**
     * Creates a client.
     *
     * @param members supplies the current member records of all daemons
     */
    public HttpRemoteRuns(Vertx vertx, Clock clock, Supplier<Map<DaemonId, MemberRecord>> members) {
        client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout(1000));
        this.clock = clock;
        this.members = members;
    }

    @Override
    public void attach(Claim claim, KeyedRequest keyed, Consumer<Optional<Answer>> answer) {
        MemberRecord holder = members.get().get(claim.holder());
        if (holder == null || !holder.boot().equals(claim.holderBoot())) {
            answer.accept(Optional.empty());
            return;
        }
        client.request(options(holder.callers(), keyed))
                .compose(HttpClientRequest::send)
                .compose(HttpRemoteRuns::readAnswer)
                .onSuccess(answer::accept)
                .onFailure(failure -> answer.accept(Optional.empty()));
    }

    /** Parses the value of {@link #ATTACH}; empty if it is not a hexadecimal number of 64 bits. */
    static Optional<Long> fingerprint(String text) {
        try {
            return Optional.of(Long.parseUnsignedLong(text, HEX_RADIX));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    private RequestOptions options(InetSocketAddress address, KeyedRequest keyed) {
        long remainingNanos = keyed.request().deadlineNanos() - clock.nanoTime();
        long timeoutMillis = Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
        return new RequestOptions()
                .setHost(address.getAddress().getHostAddress())
                .setPort(address.getPort())
                .setMethod(keyed.method())
                .setURI(keyed.path())
                .setIdleTimeout(timeoutMillis)
                .putHeader(ATTACH, Long.toHexString(keyed.fingerprint()))
                .putHeader(CallerApi.KEY, keyed.request().key().orElseThrow().value())
                .putHeader(CallerApi.CUSTOMER, keyed.request().customer().value());
    }

    private static Future<Optional<Answer>> readAnswer(HttpClientResponse response) {
        boolean completed =
                Outcome.COMPLETED.word.equals(response.getHeader(HttpResponder.OUTCOME));
        if (!completed) {
            return response.end().map(Optional.empty());
        }
        String length = response.getHeader("Content-Length");
        return response.body()
                .map(
                        body ->
                                Integer.toString(body.length()).equals(length)
                                        ? Optional.of(
                                                new Answer(
                                                        response.statusCode(),
                                                        response.headers(),
                                                        body))
                                        : Optional.empty());
    }
}
