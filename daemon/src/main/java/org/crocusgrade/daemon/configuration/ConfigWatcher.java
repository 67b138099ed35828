package org.crocusgrade.daemon.configuration;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.ConfigLoader;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.PrefixWatcher;

/** Holds the configuration in force: takes a newer one as the store shows it, never an older. */
public final class ConfigWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final ConfigLoader loader;
    private final ScheduledExecutorService control;
    private final PrefixWatcher heads;
    private final Consumer<ConfigBundle> listener;
    private volatile ConfigBundle held = ConfigBundle.EMPTY;

    /** Makes a watcher; the listener gets each newer configuration on the control thread. */
    public ConfigWatcher(
            KeyValueStore store,
            ScheduledExecutorService control,
            Consumer<ConfigBundle> listener) {
        this.loader = new ConfigLoader(store);
        this.control = control;
        this.listener = listener;
        heads = new PrefixWatcher(store, ConfigHead.KEY, control, this::onHeads);
    }

    /** Starts to watch. */
    public void start() {
        heads.start();
    }

    /** Ends the watch. */
    public void stop() {
        heads.stop();
    }

    /** Returns the configuration in force, from any thread. */
    public ConfigBundle held() {
        return held;
    }

    private void onHeads(Map<String, StoreEntry> entries) {
        loader.newer(Optional.ofNullable(entries.get(ConfigHead.KEY)), held)
                .emitOn(control)
                .subscribe()
                .with(this::take, this::onFailure);
    }

    private void take(ConfigBundle bundle) {
        if (!bundle.newerThan(held)) {
            return;
        }
        held = bundle;
        logger.atInfo().log("config: version %d is in force", bundle.head().version().value());
        listener.accept(bundle);
    }

    private void onFailure(Throwable failure) {
        logger.atWarning().log("config: cannot load: %s", failure.getMessage());
    }
}
