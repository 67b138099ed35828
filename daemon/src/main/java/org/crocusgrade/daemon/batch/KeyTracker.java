package org.crocusgrade.daemon.batch;

import java.util.function.Predicate;
import org.crocusgrade.core.customer.ApiKey;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.customer.KeyChecks;
import org.crocusgrade.core.customer.KeyView;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.daemon.log.Event;

/**
 * Tracks what this daemon knows of the customers' keys, and logs when that becomes too old to check
 * keys and when it is recent again. The view may be read on any thread.
 */
final class KeyTracker {
    private final BatchRuntime runtime;
    private final QueueRegistry queues;
    private final KeyChecks checks;
    private volatile KeyView view = KeyView.EMPTY;
    private boolean usable = true;

    KeyTracker(BatchRuntime runtime, QueueRegistry queues) {
        this.runtime = runtime;
        this.queues = queues;
        checks = new KeyChecks(runtime.clock(), runtime.limits().customers().keyRevocation());
    }

    KeyView view() {
        return view;
    }

    KeyChecks checks() {
        return checks;
    }

    /** Records a successful read of the operators' entries that was sent at the given time. */
    void onConfirmed(ClockReading sent) {
        view = view.withConfirmed(sent);
    }

    /** Records that the newest configuration is in force, or older than the one in force. */
    void onAccepted(CustomerDirectory inForce) {
        view = view.withAccepted(inForce);
    }

    /**
     * Records that the newest configuration cannot be used, so the version in force stays. What
     * operators wanted to withdraw by that configuration is unknown. Keys that its text still
     * contains stay in use. The others are confirmed by no later read, so calls with them are
     * answered 503 after the usual age limit.
     */
    void onRejected(Predicate<ApiKey> isListed) {
        KeyView rejected = view.withRejected(isListed);
        if (!rejected.unlisted().equals(view.unlisted())) {
            runtime.log().log(
                    Event.KEYS_UNLISTED,
                    "config",
                    queues.table().version(),
                    "keys",
                    rejected.unlisted().size());
        }
        view = rejected;
    }

    /** Logs whether keys can be checked, if that has changed. */
    void tick() {
        boolean now = checks.isUsable(view);
        if (now == usable) {
            return;
        }
        usable = now;
        runtime.log().log(
                usable ? Event.KEY_VIEW_USABLE : Event.KEY_VIEW_OUTDATED,
                "config",
                queues.table().version(),
                "age-ms",
                checks.age(view).map(a -> Long.toString(a.toMillis())).orElse("-"));
    }
}
