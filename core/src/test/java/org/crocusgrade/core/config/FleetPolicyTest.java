package org.crocusgrade.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.PublishId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetPolicyTest {
    private static final String FLEET = "[fleet]\nmove-weight = 80\nbuffer-weight = 0.25\n";

    @Test
    void rollOutIsOptional() throws Exception {
        FleetPolicy policy = FleetPolicyReader.read("fleet.ini", FLEET);
        assertThat(policy, is(new FleetPolicy(80, 0.25, FleetPolicy.RollOut.NONE)));
    }

    @Test
    void allRollOutKeysAreRead() throws Exception {
        String text =
                FLEET
                        + "[roll-out]\nimage = image-7\nattempt = 2\npaused = yes\n"
                        + "canary-percent = 10\nwatch = 2min\nmax-failures = 1\n"
                        + "reboot-timeout = 5min\n";
        FleetPolicy.RollOut expected =
                new FleetPolicy.RollOut(
                        Optional.of("image-7"),
                        2,
                        true,
                        10,
                        Duration.ofMinutes(2),
                        1,
                        Duration.ofMinutes(5));
        assertThat(FleetPolicyReader.read("fleet.ini", text).rollOut(), is(expected));
    }

    @ParameterizedTest
    @CsvSource({
        "'move-weight = 80', missing-key",
        "'move-weight = 80\nbuffer-weight = -1', bad-value",
        "'move-weight = 80\nbuffer-weight = 2000000', out-of-range",
        "'move-weight = 80\nbuffer-weight = 1\nspeed = 2', unknown-key",
        "'move-weight = 80\nbuffer-weight = 1\n[roll-out]\ncanary-percent = 101', out-of-range",
        "'move-weight = 80\nbuffer-weight = 1\n[roll-out]\nwatch = 60', wrong-unit",
        "'move-weight = 80\nbuffer-weight = 1\n[roll-out]\nimage = a b', bad-value",
        "'move-weight = 80\nbuffer-weight = 1\n[service]\nname = x', unknown-section",
    })
    void invalidValueIsRejected(String text, String code) {
        ConfigException e =
                assertThrows(
                        ConfigException.class,
                        () -> FleetPolicyReader.read("fleet.ini", "[fleet]\n" + text + "\n"));
        assertThat(e.problems().get(0).message().code, is(code));
    }

    @Test
    void policyIsPublishedWithServices() throws Exception {
        Path folder = Path.of("../samples/laineflux");
        Map<String, String> texts = new TreeMap<>();
        texts.put("fleet.ini", Files.readString(folder.resolve("fleet.ini")));
        texts.put("desk.ini", Files.readString(folder.resolve("broker-desk.ini")));
        ConfigChange change = ConfigChange.of(texts, Set.of());
        ConfigHead head =
                ConfigHead.NONE.next(
                        new PublishId("p"), Instant.EPOCH, change.applyTo(ConfigHead.NONE));
        FleetConfig fleet = ConfigBundle.assemble(head, change.files(), ConfigBundle.EMPTY).fleet();
        assertThat(fleet.policy().moveWeight(), is(80.0));
        assertThat(fleet.services().size(), is(1));
    }

    @Test
    void serviceCannotHaveThePolicysName() throws Exception {
        String desk = Files.readString(Path.of("../samples/laineflux/broker-desk.ini"));
        String renamed = desk.replaceFirst("name = broker-desk", "name = fleet");
        assertThrows(ConfigException.class, () -> ServiceFileReader.read("a.ini", renamed));
    }
}
