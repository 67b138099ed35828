package org.crocusgrade.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.core.config.ValueParser;
import org.crocusgrade.core.config.ValueParsers;

/** What the commands for trials and stand-ins share. */
final class TrialOptions {
    static final Option<Deployment> DEPLOYMENT =
            Option.of(
                    "--deployment",
                    deployments(),
                    Deployment.LAINEFLUX,
                    "whose fleet, services and callers");
    static final Option<Integer> SEED =
            Option.of(
                    "--seed",
                    ValueParsers.integer(0, Integer.MAX_VALUE),
                    1,
                    "what the callers' requests are drawn from");
    static final Option<InetSocketAddress> LISTEN =
            Option.required("--listen", ValueParsers.address(), "where to listen");

    private static final int MAX_WORKERS = 2400;

    static final Option<Integer> WORKERS =
            Option.of("--workers", ValueParsers.integer(1, MAX_WORKERS), 35, "how many workers");

    private TrialOptions() {}

    private static ValueParser<Deployment> deployments() {
        Map<String, Deployment> words = new LinkedHashMap<>();
        for (Deployment deployment : Deployment.values()) {
            words.put(deployment.name().toLowerCase(Locale.ROOT), deployment);
        }
        return ValueParsers.word(words);
    }

    /** Keeps the logs of daemons in this process out of the command's output. */
    static void quietLogs() {
        Logger.getLogger("").setLevel(Level.WARNING);
    }

    /** Turns the JSON of a report into the JSON of the command line. */
    static JsonNode json(JsonObject report) {
        try {
            return Invocation.JSON.readTree(report.encode());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a report is not JSON", e);
        }
    }

    /** Waits until the process is told to end. */
    static ExitCode serve() throws CliException {
        try {
            new CountDownLatch(1).await();
            return ExitCode.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CliException(CliMessage.FAILED, "interrupted");
        }
    }
}
