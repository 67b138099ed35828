package org.crocusgrade.core.customer;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.ClockReading;

/**
 * Decides whether a call may use its API key, from a daemon's own view of the configuration.
 *
 * <p>Answers two failures: a daemon that cannot reach the store must not accept a key that was
 * withdrawn meanwhile, and must not reject a key that was added meanwhile. Both are decided by the
 * age of the view, which is measured from the time when the confirming read was sent.
 */
public final class KeyChecks {
    /**
     * Part of the revocation bound for which a view may be used. The rest covers two delays: the
     * store may report no changes for 1 s while it drops its history, and an answer takes up to 250
     * ms to deliver (of a bound of 5 s).
     */
    private static final int USABLE_QUARTERS = 3;

    /**
     * Part of the revocation bound for which a view may call a key unknown. With the usual bound of
     * 5 s that is 2 s: a key must be accepted 3 s after the store acknowledged its configuration,
     * and a read may miss changes of its last second. In normal operation, a view is at most a
     * fifth of the bound old.
     */
    private static final int UNKNOWN_FIFTHS = 2;

    /**
     * Maximum age of a view that may call a key unknown, whatever the bound is. The longest watches
     * wait 2 s, so a view is up to 4 s old in normal operation.
     */
    private static final Duration MAX_UNKNOWN_AGE = Duration.ofSeconds(5);

    private final Clock clock;
    private final Optional<Duration> usableAge;
    private final Duration unknownAge;

    /**
     * Creates checks.
     *
     * @param revocation the time after which a withdrawn key must not be accepted any more; without
     *     it, a key is accepted however old the view is
     */
    public KeyChecks(Clock clock, Optional<Duration> revocation) {
        this.clock = Objects.requireNonNull(clock);
        usableAge = revocation.map(r -> r.multipliedBy(USABLE_QUARTERS).dividedBy(4));
        unknownAge =
                revocation
                        .map(r -> r.multipliedBy(UNKNOWN_FIFTHS).dividedBy(5))
                        .filter(a -> a.compareTo(MAX_UNKNOWN_AGE) < 0)
                        .orElse(MAX_UNKNOWN_AGE);
    }

    /** Checks the key of a call to a queue that is not open. */
    public Decision check(KeyView view, Optional<ApiKey> key) {
        if (!view.customers().isEnabled()) {
            return new Decision(Verdict.ACCEPTED, Optional.empty());
        }
        if (key.isEmpty()) {
            return refuse(Verdict.KEY_MISSING);
        }
        Optional<ClockReading> confirmed = view.confirmed(key.get());
        if (!isUsable(confirmed)) {
            return refuse(Verdict.VIEW_OUTDATED);
        }
        Optional<Customer> customer = view.customers().byKey(key.get());
        if (customer.isPresent()) {
            return new Decision(Verdict.ACCEPTED, customer.map(Customer::id));
        }
        boolean recent = confirmed.map(c -> c.isWithin(unknownAge, clock)).orElse(false);
        return refuse(recent ? Verdict.KEY_UNKNOWN : Verdict.VIEW_OUTDATED);
    }

    /**
     * Checks the key of a call again before its success is reported. The call must still be made on
     * behalf of the same customer.
     */
    public Verdict checkAgain(KeyView view, Optional<ApiKey> key, Optional<CustomerId> before) {
        if (before.isEmpty()) {
            return Verdict.ACCEPTED;
        }
        Decision now = check(view, key);
        // Without customers in force, no key is needed any more.
        boolean same = now.customer().isEmpty() || now.customer().equals(before);
        return now.verdict() == Verdict.ACCEPTED && !same ? Verdict.KEY_UNKNOWN : now.verdict();
    }

    /** Returns whether calls with a key can be decided; always true without customers. */
    public boolean isUsable(KeyView view) {
        return !view.customers().isEnabled() || isUsable(view.confirmed());
    }

    /** Returns the time since the last confirmed read of a view was sent. */
    public Optional<Duration> age(KeyView view) {
        return view.confirmed().map(c -> c.age(clock));
    }

    private boolean isUsable(Optional<ClockReading> confirmed) {
        return usableAge.isEmpty()
                || confirmed.map(c -> c.isWithin(usableAge.get(), clock)).orElse(false);
    }

    private static Decision refuse(Verdict verdict) {
        return new Decision(verdict, Optional.empty());
    }

    /** Results of a check. */
    public enum Verdict {
        /** The call may proceed. */
        ACCEPTED("ok"),
        /** The call carries no key. */
        KEY_MISSING("no API key"),
        /** The key belongs to no customer. */
        KEY_UNKNOWN("unknown API key"),
        /** This daemon's view of the keys is too old to decide; another daemon may be able to. */
        VIEW_OUTDATED("keys not confirmed by the store");

        private final String reason;

        Verdict(String reason) {
            this.reason = reason;
        }

        /** Returns the reason in answers and log lines. */
        public String reason() {
            return reason;
        }
    }

    /**
     * The result of a check.
     *
     * @param verdict whether the call may proceed
     * @param customer the customer of an accepted key; empty if the configuration names no
     *     customers
     */
    public record Decision(Verdict verdict, Optional<CustomerId> customer) {}
}
