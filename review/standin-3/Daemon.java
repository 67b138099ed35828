package bed;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A daemon, started by the run line of the deploy file, and started again when it has ended. */
final class Daemon {
    private static final int RESTART_MILLIS = 500;

    private final Bed bed;
    private final String name;
    private final Path settings;
    private final InetSocketAddress frontend;
    private final List<String> ends = new ArrayList<>();
    private Process process;
    private boolean wanted;
    private boolean asked;
    private int starts;

    Daemon(Bed bed, String name, String zone, String ip, InetSocketAddress store) throws IOException {
        this.bed = bed;
        this.name = name;
        settings = bed.folder().resolve(name + ".conf");
        frontend = new InetSocketAddress(ip, Http.freePort(ip));
        Files.writeString(settings, bed.settings(name, zone, ip, frontend, store));
    }

    String name() {
        return name;
    }

    InetSocketAddress frontend() {
        return frontend;
    }

    synchronized int starts() {
        return starts;
    }

    /** Returns how the process ended by itself: its statuses, in order. */
    synchronized List<String> ownEnds() {
        return List.copyOf(ends);
    }

    synchronized void start() throws IOException {
        wanted = true;
        asked = false;
        launch();
    }

    private void launch() throws IOException {
        File log = bed.folder().resolve(name + ".log").toFile();
        ProcessBuilder builder =
                new ProcessBuilder(bed.runLine())
                        .directory(bed.root().toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        builder.environment().put("CROCUSGRADE_NODE_FILE", settings.toString());
        process = builder.start();
        starts++;
        bed.record(name + " is started");
        Process started = process;
        started.onExit().thenAccept(p -> onExit(p));
    }

    private synchronized void onExit(Process ended) {
        if (ended != process) {
            return;
        }
        bed.record(name + " has ended, status " + ended.exitValue());
        if (!asked) {
            ends.add(Bed.seconds() + ": " + ended.exitValue());
        }
        if (wanted) {
            Http.thread("restart", () -> {
                Bed.sleep(RESTART_MILLIS);
                synchronized (this) {
                    if (wanted && process == ended) {
                        asked = false;
                        try {
                            launch();
                        } catch (IOException e) {
                            bed.record(name + " cannot be started: " + e);
                        }
                    }
                }
            });
        }
    }

    /** Sends SIGKILL; the platform starts the process again unless it is gone for good. */
    synchronized void kill(boolean forGood) {
        asked = true;
        wanted = !forGood;
        bed.record(name + " is killed" + (forGood ? " for good" : ""));
        process.destroyForcibly();
    }

    /** Sends SIGTERM; the platform starts the process again unless it is gone for good. */
    synchronized void terminate(boolean forGood) {
        asked = true;
        wanted = !forGood;
        bed.record(name + " gets SIGTERM");
        process.destroy();
    }

    synchronized void end() {
        wanted = false;
        asked = true;
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    synchronized boolean isAlive() {
        return process != null && process.isAlive();
    }

    String log() throws IOException {
        Path log = bed.folder().resolve(name + ".log");
        return Files.exists(log) ? Files.readString(log) : "";
    }
}
