package org.crocusgrade.daemon.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.core.port.PlatformException;
import org.crocusgrade.standin.HostListServer;
import org.crocusgrade.standin.hosts.HostFaults;
import org.junit.jupiter.api.Test;

class HttpHostPlatformTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final WorkerId WORKER = new WorkerId("w-1");

    @Test
    void listsHostsAndRebootsOncePerOperation() {
        Vertx vertx = Vertx.vertx();
        HostListServer server =
                new HostListServer(
                        Clock.system(), List.of(host()), Duration.ZERO, Duration.ofMinutes(1));
        InetSocketAddress address = await(server.start(vertx, "127.0.0.1", 0));
        HttpHostPlatform platform = new HttpHostPlatform(vertx, address, Duration.ofSeconds(2));
        assertThat(await(platform.hosts()), is(List.of(host())));
        assertThat(await(platform.hosts()), is(List.of(host())));
        await(platform.reboot(WORKER, "v2", "op-1"));
        await(platform.reboot(WORKER, "v2", "op-1"));
        assertThat(server.state().reboots(), is(1));
        assertThat(await(platform.hosts()).get(0).state(), is(HostEntry.State.DOWN));
        assertThat(
                failure(platform.reboot(new WorkerId("w-2"), "v2", "op-2")),
                instanceOf(PlatformException.class));
        server.setFaults(new HostFaults(true, Duration.ZERO, false));
        assertThat(failure(platform.hosts()), instanceOf(PlatformException.class));
        platform.close();
        await(server.stop());
        await(vertx.close());
    }

    private static HostEntry host() {
        return new HostEntry(
                WORKER,
                new InetSocketAddress("127.0.0.1", 9),
                new RackId("r-1"),
                new AvailabilityZone("rennes"),
                HostEntry.State.LIVE,
                32,
                1L << 37,
                0,
                8,
                64,
                "v1");
    }

    private static <T> T await(Uni<T> uni) {
        return uni.await().atMost(WAIT);
    }

    private static Throwable failure(Uni<?> uni) {
        return assertThrows(CompletionException.class, () -> await(uni)).getCause();
    }
}
