package org.crocusgrade.bench.plan;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import org.crocusgrade.core.fleet.plan.DefaultPlanner;
import org.crocusgrade.core.fleet.plan.Plan;
import org.crocusgrade.core.fleet.plan.PlanSettings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Simulates the planner on recorded sessions. A session file holds the settings, a line of hyphens,
 * every expected move with its second and reason, and the final score. With {@code
 * -Dsessions.write=true} the test rewrites the expected moves; they must be reviewed before they
 * are committed.
 */
class PlannerSessionTest {
    private static final Path DIRECTORY = Path.of("src/test/resources/plan");
    private static final String SEPARATOR = "---\n";

    static Stream<Path> sessions() throws IOException {
        try (Stream<Path> files = Files.list(DIRECTORY)) {
            return files.filter(f -> f.toString().endsWith(".session")).sorted().toList().stream();
        }
    }

    @ParameterizedTest
    @MethodSource("sessions")
    void movesAreThoseOfTheSession(Path file) throws IOException {
        String text = Files.readString(file);
        String head = text.substring(0, text.indexOf(SEPARATOR));
        String expected = text.substring(text.indexOf(SEPARATOR) + SEPARATOR.length());
        Map<String, String> settings = new HashMap<>();
        for (String line : head.split("\n")) {
            String[] parts = line.split(" = ");
            settings.put(parts[0], parts[1]);
        }
        String actual = play(settings);
        if (Boolean.getBoolean("sessions.write")) {
            Files.writeString(file, head + SEPARATOR + actual);
            return;
        }
        assertThat(actual, equalTo(expected));
    }

    private static String play(Map<String, String> session) {
        Deployment fleet =
                switch (session.get("fleet")) {
                    case "laineflux" -> Deployment.laineflux();
                    case "authority" -> Deployment.authority();
                    default -> throw new IllegalArgumentException(session.get("fleet"));
                };
        long seed = Long.parseLong(session.get("seed"));
        int rounds = Integer.parseInt(session.get("rounds"));
        String lost = session.getOrDefault("zone-lost", "none");
        PlanSettings settings = PlanSettings.DEFAULT;
        DemandTrace trace = DemandTrace.rotatingSurges(fleet, Compare.STEP, rounds, seed);
        TraceSimulator simulator =
                new TraceSimulator(fleet, trace, new DefaultPlanner(settings), settings, seed);
        StringBuilder moves = new StringBuilder();
        simulator.onPlan(plan -> plan.moves().forEach(m -> append(moves, plan, m)));
        int perSecond = (int) (Duration.ofSeconds(1).toNanos() / Compare.STEP.toNanos());
        int second = 0;
        do {
            if (!lost.equals("none")) {
                String[] parts = lost.split(" ");
                if (second == Integer.parseInt(parts[1])) {
                    simulator.setZoneUp(Integer.parseInt(parts[0]), false);
                }
                if (second == Integer.parseInt(parts[2])) {
                    simulator.setZoneUp(Integer.parseInt(parts[0]), true);
                }
            }
            second++;
        } while (simulator.play(perSecond));
        assertThat(simulator.violations(), empty());
        return moves + simulator.score().line() + "\n";
    }

    private static void append(StringBuilder moves, Plan plan, Plan.Move move) {
        long second = Duration.between(TraceSimulator.START, plan.at()).toSeconds();
        moves.append(
                String.format(
                        Locale.ROOT,
                        "%3d %s %s > %s %s%n",
                        second,
                        move.worker(),
                        move.from(),
                        move.to(),
                        move.reason().code));
    }

    /** Guards against a parameterized test that passes because no session file was found. */
    @org.junit.jupiter.api.Test
    void thereAreSessions() throws IOException {
        List<Path> all = sessions().toList();
        assertThat(all.size(), equalTo(3));
    }
}
