package org.crocusgrade.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.config.ServiceConfig.Quota;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;

/**
 * Replays a session file against a {@link ServiceQueue}. A line with a time is an event; a line
 * that starts with {@code ->} is an action of the queue since the previous event; the lines after
 * {@code receipts} are the attempts that ended at the workers, in order. The result is the file
 * with the actions of this replay.
 *
 * <pre>
 * service class=prompt bound=4 run=40ms cancel=true zone=az1 quota.acme=2
 * 0 grant w1 zone=az1 slots=2 until=10000
 * 0 offer a customer=acme deadline=100 flags=idempotent,urgent cores=1
 * 40 end a ANSWERED
 * 40 cancel b | 40 sizes 32 | 40 stop | 50 wait
 * </pre>
 */
final class SessionCase {
    private static final long MILLI = 1_000_000L;
    private static final long SEED = 7;

    private final List<String> out = new ArrayList<>();
    private final CheckedWorkers workers = new CheckedWorkers();
    private ServiceQueue queue;

    static String replay(List<String> lines) {
        SessionCase session = new SessionCase();
        for (String line : lines) {
            if (line.startsWith("receipts")) {
                break;
            }
            if (!line.startsWith("->")) {
                session.replayLine(line);
            }
        }
        session.out.add("receipts");
        session.out.addAll(session.workers.receipts);
        return String.join("\n", session.out) + "\n";
    }

    private void replayLine(String line) {
        if (line.isBlank() || line.startsWith("#")) {
            out.add(line);
            return;
        }
        String[] words = line.trim().split("\\s+");
        Map<String, String> args = arguments(words);
        if (words[0].equals("service")) {
            queue = new ServiceQueue(settings(args), workers, RandomSource.JDK.create(SEED));
            workers.attach(queue);
            out.add(line);
            return;
        }
        workers.advance(Long.parseLong(words[0]) * MILLI);
        flushActions();
        out.add(line);
        applyEvent(words, args);
        flushActions();
    }

    private void flushActions() {
        for (String entry : workers.log) {
            out.add("-> " + entry);
        }
        workers.log.clear();
    }

    private void applyEvent(String[] words, Map<String, String> args) {
        switch (words[1]) {
            case "offer":
                workers.offer(request(words[2], args));
                return;
            case "grant":
                workers.grant(grant(words[2], args));
                return;
            case "end":
                workers.end(new RequestId(words[2]), RunEnd.valueOf(words[3]));
                return;
            case "end-all":
                for (RequestId id : List.copyOf(workers.running.keySet())) {
                    workers.end(id, RunEnd.valueOf(words[2]));
                }
                return;
            case "again":
                Attempt attempt = workers.ended.get(new RequestId(words[2]));
                queue.finished(attempt, RunEnd.valueOf(words[3]), workers.now);
                return;
            case "cancel":
                queue.cancel(new RequestId(words[2]), workers.now);
                return;
            case "sizes":
                queue.workerSizes(List.of(new Needs(Integer.parseInt(words[2]), 0, 0)));
                return;
            case "stop":
                queue.stop(workers.now);
                return;
            case "wait":
                return;
            default:
                throw new IllegalArgumentException("unknown event: " + words[1]);
        }
    }

    private static QueueSettings settings(Map<String, String> args) {
        Map<CustomerId, Quota> quotas = new HashMap<>();
        for (Map.Entry<String, String> arg : args.entrySet()) {
            if (arg.getKey().startsWith("quota.")) {
                quotas.put(
                        new CustomerId(arg.getKey().substring(6)),
                        new Quota(Integer.parseInt(arg.getValue())));
            }
        }
        String name = args.getOrDefault("class", "prompt").replace('-', '_');
        return new QueueSettings(
                ServiceClass.valueOf(name.toUpperCase(Locale.ROOT)),
                Integer.parseInt(args.getOrDefault("bound", "100")),
                Duration.ofMillis(Long.parseLong(args.getOrDefault("run", "10"))),
                Boolean.parseBoolean(args.getOrDefault("cancel", "false")),
                quotas,
                Optional.ofNullable(args.get("zone")).map(AvailabilityZone::new),
                1);
    }

    private Request request(String id, Map<String, String> args) {
        String flags = args.getOrDefault("flags", "");
        long deadline = Long.parseLong(args.getOrDefault("deadline", "1000")) * MILLI;
        return new Request(
                new RequestId(id),
                new CustomerId(args.getOrDefault("customer", "acme")),
                workers.now + deadline,
                flags.contains("urgent"),
                flags.contains("idempotent"),
                Optional.empty(),
                new Needs(Integer.parseInt(args.getOrDefault("cores", "1")), 0, 0));
    }

    private WorkerGrant grant(String worker, Map<String, String> args) {
        long until = Long.parseLong(args.getOrDefault("until", "1000000")) * MILLI;
        return new WorkerGrant(
                new WorkerId(worker),
                new AvailabilityZone(args.getOrDefault("zone", "az1")),
                new Needs(Integer.parseInt(args.getOrDefault("cores", "32")), 0, 0),
                Integer.parseInt(args.get("slots")),
                until);
    }

    private static Map<String, String> arguments(String[] words) {
        Map<String, String> args = new HashMap<>();
        for (String word : words) {
            int at = word.indexOf('=');
            if (at > 0) {
                args.put(word.substring(0, at), word.substring(at + 1));
            }
        }
        return args;
    }
}
