package org.crocusgrade.daemon;

import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.daemon.settings.Settings;
import org.crocusgrade.daemon.settings.SettingsReader;

/** Starts a daemon from its settings file; SIGTERM stops it gracefully. */
public final class DaemonMain {
    private static final int START_FAILED = 1;
    private static final int USAGE_ERROR = 2;

    private DaemonMain() {}

    /**
     * Starts the daemon, which runs until the process is terminated. With {@code --check}, only
     * reads the settings and creates the daemon without listening.
     */
    public static void main(String[] args) {
        ArgumentParser parser =
                ArgumentParsers.newFor("crocusgraded")
                        .build()
                        .description("Runs one crocusgrade daemon.");
        parser.addArgument("--settings").required(true).help("the daemon's settings file (INI)");
        parser.addArgument("--check")
                .action(Arguments.storeTrue())
                .help("check the settings file and end without listening");
        try {
            Namespace options = parser.parseArgs(args);
            run(Path.of(options.getString("settings")), options.getBoolean("check"));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(USAGE_ERROR);
        } catch (ConfigException | IOException | DaemonException e) {
            System.err.println("crocusgraded: " + e.getMessage());
            System.exit(START_FAILED);
        }
    }

    private static void run(Path file, boolean checkOnly)
            throws ConfigException, IOException, DaemonException {
        Settings settings = SettingsReader.read(file);
        setLogLevel(settings.logLevel());
        Daemon daemon = new Daemon(settings);
        if (checkOnly) {
            daemon.close();
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::stop, "stop"));
        daemon.start();
    }

    private static void setLogLevel(Level level) {
        Logger root = Logger.getLogger("");
        root.setLevel(level);
        for (var handler : root.getHandlers()) {
            handler.setLevel(level);
        }
    }
}
