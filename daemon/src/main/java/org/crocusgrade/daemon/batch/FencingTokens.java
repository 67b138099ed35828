package org.crocusgrade.daemon.batch;

import java.util.OptionalLong;
import org.crocusgrade.core.port.WatchResult;
import org.crocusgrade.daemon.log.Event;

/**
 * The fencing tokens of a pool's owner: a higher one for each incarnation that a worker has under
 * the same id, so that the next incarnation rejects the calls that were sent to the former one.
 *
 * <p>A token is a revision at which the store still named this owner. The next owner takes over by
 * a later change of the store, so its token is higher than all of these, and the former owner's are
 * lower.
 *
 * <p>For example, an owner takes over at revision 40 and addresses a worker with token 40. The
 * worker crashes and registers again at revision 75. A record is written at revision 78 under the
 * condition that the owner has not changed, so the next incarnation is addressed with 78. A start
 * with token 40 that arrives after the first call with 78 is rejected. The next owner takes over at
 * revision 90.
 */
final class FencingTokens {
    /** Delay before a token is requested again, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    private final BatchRuntime runtime;
    private final DutyOwnership ownership;
    private final Runnable onConfirmed;
    private long latest;
    private boolean wanted;
    private boolean reading;

    /**
     * Creates the tokens of an ownership.
     *
     * @param onConfirmed called when a token is known that {@link #above} has not found
     */
    FencingTokens(BatchRuntime runtime, DutyOwnership ownership, Runnable onConfirmed) {
        this.runtime = runtime;
        this.ownership = ownership;
        this.onConfirmed = onConfirmed;
        latest = ownership.token();
    }

    /** Returns the highest token so far; no worker has received a higher one of this owner. */
    long latest() {
        return latest;
    }

    /** Records a revision at which the store still named this owner. */
    void confirm(long revision) {
        if (revision <= latest) {
            return;
        }
        latest = revision;
        if (wanted) {
            wanted = false;
            onConfirmed.run();
        }
    }

    /** Returns a token above the given one; if none is known, requests one from the store. */
    OptionalLong above(long token) {
        if (latest > token) {
            return OptionalLong.of(latest);
        }
        wanted = true;
        read();
        return OptionalLong.empty();
    }

    private void read() {
        if (reading || !wanted) {
            return;
        }
        reading = true;
        runtime.store()
                .snapshot(ownership.key())
                .emitOn(runtime.loop())
                .subscribe()
                .with(r -> runtime.guard(() -> onRead(r)), this::onFailure);
    }

    private void onRead(WatchResult result) {
        reading = false;
        boolean held =
                result.changed().stream()
                        .anyMatch(
                                e ->
                                        e.key().equals(ownership.key())
                                                && e.revision() == ownership.token());
        if (held) {
            confirm(result.revision());
            runtime.after(RETRY_MILLIS, this::read);
        }
    }

    private void onFailure(Throwable failure) {
        reading = false;
        runtime.log().log(
                Event.STORE_FAILED, "reading", ownership.key(), "cause", failure.getMessage());
        runtime.after(RETRY_MILLIS, this::read);
    }

    /** Ends the reads that wait for a higher revision. */
    void stop() {
        wanted = false;
    }
}
