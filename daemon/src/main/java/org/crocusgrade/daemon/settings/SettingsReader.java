package org.crocusgrade.daemon.settings;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.logging.Level;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigMessage;
import org.crocusgrade.core.config.IniDocument;
import org.crocusgrade.core.config.Problems;
import org.crocusgrade.core.config.ServiceFileReader;
import org.crocusgrade.core.config.ValueParser;
import org.crocusgrade.core.config.ValueParsers;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.daemon.settings.Settings.Bounds;
import org.crocusgrade.daemon.settings.Settings.Listen;
import org.crocusgrade.daemon.settings.Settings.Platform;
import org.crocusgrade.peer.PeerKey;

/** Reads and checks a daemon's settings file. */
public final class SettingsReader {
    private static final int MAX_KEY_BYTES = 64;
    private static final int MAX_THREADS = 256;
    private static final int DEFAULT_THREADS = 2;
    private static final Duration MAX_STOP_TIMEOUT = Duration.ofHours(1);
    private static final Duration MAX_LEAVE_DELAY = Duration.ofMinutes(1);

    private final IniDocument doc;
    private final Problems problems;

    private SettingsReader(IniDocument doc, Problems problems) {
        this.doc = doc;
        this.problems = problems;
    }

    /**
     * Reads a settings file.
     *
     * @throws ConfigException with every error found
     */
    public static Settings read(Path file) throws ConfigException, IOException {
        try (InputStream in = Files.newInputStream(file)) {
            return read(file.toString(), in.readNBytes(ServiceFileReader.MAX_FILE_BYTES + 1));
        }
    }

    /**
     * Reads a settings file's text.
     *
     * @param file the file's name, for error messages
     * @throws ConfigException with every error found
     */
    public static Settings read(String file, String text) throws ConfigException {
        return read(file, text.getBytes(StandardCharsets.UTF_8));
    }

    private static Settings read(String file, byte[] content) throws ConfigException {
        Problems problems = new Problems(file);
        return new SettingsReader(IniDocument.read(content, problems), problems).readAll();
    }

    private Settings readAll() throws ConfigException {
        DaemonId daemon = required("daemon", "id", ValueParsers.id(DaemonId::new));
        Region region = required("daemon", "region", ValueParsers.id(Region::new));
        AvailabilityZone zone = required("daemon", "zone", ValueParsers.id(AvailabilityZone::new));
        Integer threads =
                optional(
                        "daemon", "threads", ValueParsers.integer(1, MAX_THREADS), DEFAULT_THREADS);
        Level level = optional("daemon", "log-level", levels(), Level.INFO);
        Listen listen = listen();
        Platform platform = platform();
        byte[] key =
                required("peers", "key", ValueParsers.secret(PeerKey.MIN_BYTES, MAX_KEY_BYTES));
        Map<DaemonId, InetSocketAddress> seeds = seeds();
        Bounds bounds = bounds();
        doc.rejectUnknown(problems);
        problems.check();
        return new Settings(
                daemon,
                region,
                zone,
                listen,
                platform,
                new PeerKey(key),
                seeds,
                level,
                threads,
                bounds);
    }

    private Listen listen() {
        InetSocketAddress callers = required("listen", "callers", ValueParsers.address());
        InetSocketAddress operators = required("listen", "operators", ValueParsers.address());
        InetSocketAddress peers = required("listen", "peers", ValueParsers.address());
        if (callers == null || operators == null || peers == null) {
            return null;
        }
        refuseShared("operators", operators, "callers", callers);
        refuseShared("peers", peers, "callers", callers);
        refuseShared("peers", peers, "operators", operators);
        return new Listen(callers, operators, peers);
    }

    private void refuseShared(
            String key, InetSocketAddress address, String otherKey, InetSocketAddress other) {
        if (address.getPort() == 0 || !address.equals(other)) {
            return;
        }
        problems.add(
                ConfigMessage.CONTRADICTION,
                doc.line("listen", key),
                "[listen] " + key,
                "an address of its own",
                key + " has the address of " + otherKey);
    }

    private Platform platform() {
        InetSocketAddress service = required("platform", "service", ValueParsers.address());
        InetSocketAddress hosts = required("platform", "hosts", ValueParsers.address());
        return service == null || hosts == null ? null : new Platform(service, hosts);
    }

    private Map<DaemonId, InetSocketAddress> seeds() {
        Map<DaemonId, InetSocketAddress> seeds = new LinkedHashMap<>();
        doc.open("seeds", ValueParsers.id(DaemonId::new), ValueParsers.address(), problems)
                .forEach(seeds::put);
        return seeds;
    }

    private Bounds bounds() {
        Bounds defaults = Bounds.DEFAULT;
        Long body =
                optional(
                        "bounds",
                        "max-body",
                        ValueParsers.size(1 << 10, 64 << 20),
                        defaults.maxBodyBytes());
        Long headers =
                optional(
                        "bounds",
                        "max-headers",
                        ValueParsers.size(1 << 10, 1 << 20),
                        (long) defaults.maxHeaderBytes());
        Duration stop =
                optional(
                        "bounds",
                        "stop-timeout",
                        ValueParsers.duration(Duration.ofSeconds(1), MAX_STOP_TIMEOUT),
                        defaults.stopTimeout());
        Duration leave =
                optional(
                        "bounds",
                        "leave-delay",
                        ValueParsers.duration(Duration.ZERO, MAX_LEAVE_DELAY),
                        defaults.leaveDelay());
        if (body == null || headers == null || stop == null || leave == null) {
            return null;
        }
        return new Bounds(body, headers.intValue(), stop, leave);
    }

    private <T> T required(String section, String key, ValueParser<T> parser) {
        return doc.required(section, key, parser, problems);
    }

    private <T> T optional(String section, String key, ValueParser<T> parser, T defaultValue) {
        return doc.optional(section, key, parser, defaultValue, problems);
    }

    private static ValueParser<Level> levels() {
        Map<String, Level> words = new LinkedHashMap<>();
        words.put("debug", Level.FINE);
        words.put("info", Level.INFO);
        words.put("warning", Level.WARNING);
        words.put("error", Level.SEVERE);
        return ValueParsers.word(words);
    }
}
