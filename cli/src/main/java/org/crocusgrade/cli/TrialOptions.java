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

/** Options and functions shared by the commands for trials, experiments and stand-ins. */
final class TrialOptions {
    static final Option<Deployment> DEPLOYMENT =
            Option.of(
                    "--deployment",
                    deployments(),
                    Deployment.LAINEFLUX,
                    "the deployment whose fleet, services and callers to use");
    static final Option<Integer> SEED =
            Option.of("--seed", ValueParsers.integer(0, Integer.MAX_VALUE), 1, "the random seed");
    static final Option<InetSocketAddress> LISTEN =
            Option.required("--listen", ValueParsers.address(), "the address to listen on");

    private static final int MAX_WORKERS = 2400;

    static final Option<Integer> WORKERS =
            Option.of(
                    "--workers", ValueParsers.integer(1, MAX_WORKERS), 35, "the number of workers");

    private TrialOptions() {}

    private static ValueParser<Deployment> deployments() {
        Map<String, Deployment> words = new LinkedHashMap<>();
        for (Deployment deployment : Deployment.values()) {
            words.put(deployment.name().toLowerCase(Locale.ROOT), deployment);
        }
        return ValueParsers.word(words);
    }

    /**
     * Suppresses log messages below warnings, so that routine messages of daemons in this process
     * do not mix with the command's output.
     */
    static void quietLogs() {
        Logger.getLogger("").setLevel(Level.WARNING);
    }

    /** Converts the Vert.x JSON of a report to Jackson JSON. */
    static JsonNode json(JsonObject report) {
        try {
            return Invocation.JSON.readTree(report.encode());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot parse the JSON of a report", e);
        }
    }

    /** Blocks until the process is terminated or the thread is interrupted. */
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
