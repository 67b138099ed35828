package org.crocusgrade.bench.process;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.misc.Addresses;

/** A daemon in a process of its own; it is signalled by its process id. */
public final class DaemonProcess {
    private static final String MAIN_CLASS = "org.crocusgrade.daemon.DaemonMain";
    private static final String KEY = "00112233445566778899aabbccddeeff";
    private static final int CALLERS_PORT = 7080;
    private static final int OPERATORS_PORT = 7081;
    private static final int PEERS_PORT = 7082;
    private static final Duration EXIT_TIMEOUT = Duration.ofSeconds(20);

    /** The JVM flags of the daemon's start script, except those for class data sharing. */
    private static final List<String> JVM_FLAGS =
            List.of(
                    "-XX:+UseSerialGC",
                    "-Xms24m",
                    "-Xmx64m",
                    "-Xss512k",
                    "-XX:MaxDirectMemorySize=32m",
                    "-XX:ReservedCodeCacheSize=32m",
                    "-XX:MaxMetaspaceSize=64m",
                    "-XX:+ExitOnOutOfMemoryError",
                    "-Djava.net.preferIPv4Stack=true");

    private final Spec spec;
    private final Path settings;
    private final Path log;
    private Process process;

    /**
     * The settings of a daemon that depend on its fleet.
     *
     * @param index its index, from 0
     * @param ip the loopback address that it listens on
     * @param region its region
     * @param zone its availability zone
     * @param service the address of the platform's key-value service
     * @param hosts the address of the platform's host list
     */
    public record Spec(
            int index,
            String ip,
            Region region,
            AvailabilityZone zone,
            InetSocketAddress service,
            InetSocketAddress hosts) {
        /** Returns the daemon's id. */
        public String id() {
            return "entry-" + (index + 1);
        }

        private String settings() {
            return String.join(
                    "\n",
                    "[daemon]",
                    "id = " + id(),
                    "region = " + region,
                    "zone = " + zone,
                    "log-level = warning",
                    "threads = 2",
                    "[listen]",
                    "callers = " + ip + ":" + CALLERS_PORT,
                    "operators = " + ip + ":" + OPERATORS_PORT,
                    "peers = " + ip + ":" + PEERS_PORT,
                    "[platform]",
                    "service = " + Addresses.format(service),
                    "hosts = " + Addresses.format(hosts),
                    "[peers]",
                    "key = " + KEY,
                    "[bounds]",
                    "leave-delay = 800ms",
                    "");
        }
    }

    /** Creates a daemon, not yet started, whose settings and log are files in a directory. */
    public DaemonProcess(Spec spec, Path directory) throws ProcessException {
        this.spec = spec;
        this.settings = directory.resolve(spec.id() + ".settings");
        this.log = directory.resolve(spec.id() + ".log");
        try {
            Files.writeString(settings, spec.settings());
        } catch (IOException e) {
            throw new ProcessException("the daemon's settings file cannot be written", e);
        }
    }

    /** Starts the process without waiting until the daemon is ready. */
    public void start() throws ProcessException {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(JVM_FLAGS);
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(MAIN_CLASS);
        command.add("--settings");
        command.add(settings.toString());
        try {
            process =
                    new ProcessBuilder(command)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                            .start();
        } catch (IOException e) {
            throw new ProcessException("the daemon's process cannot be started", e);
        }
    }

    /** Returns its id. */
    public String id() {
        return spec.id();
    }

    /** Returns its address for callers. */
    public InetSocketAddress callers() {
        return new InetSocketAddress(spec.ip(), CALLERS_PORT);
    }

    /** Returns its address for operators. */
    public InetSocketAddress operators() {
        return new InetSocketAddress(spec.ip(), OPERATORS_PORT);
    }

    /** Returns whether the process runs. */
    public boolean alive() {
        return process != null && process.isAlive();
    }

    /** Returns the processor time and memory that the process has used so far. */
    public ProcessCost cost() throws ProcessException {
        return ProcessCost.of(process.pid());
    }

    /** Kills the process and waits until it has exited. */
    public void kill() throws ProcessException {
        process.destroyForcibly();
        awaitExit();
    }

    /** Kills the process, if it was started, without waiting for its exit. */
    void killWithoutWaiting() {
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Requests a graceful stop and waits until the process has exited. */
    public void stop() throws ProcessException {
        process.destroy();
        awaitExit();
    }

    /** Suspends the process until {@link #resume}. */
    public void pause() throws ProcessException {
        signal("STOP");
    }

    /** Resumes the suspended process. */
    public void resume() throws ProcessException {
        signal("CONT");
    }

    private void signal(String name) throws ProcessException {
        try {
            Process kill =
                    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
            if (kill.waitFor() != 0) {
                throw new ProcessException(
                        "signal " + name + " failed: kill returned an error status");
            }
        } catch (IOException e) {
            throw new ProcessException("signal " + name + " cannot be sent", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ProcessException("interrupted", e);
        }
    }

    private void awaitExit() throws ProcessException {
        try {
            if (!process.waitFor(EXIT_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                process.destroyForcibly();
                throw new ProcessException(spec.id() + " did not exit in time");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ProcessException("interrupted", e);
        }
    }
}
