package org.crocusgrade.daemon.batch;

import java.util.Optional;
import java.util.function.Consumer;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.log.Event;

/**
 * The stored state of the fleet duty, a write-ahead log of one record: a holder names the hosts
 * that it is about to order in the transaction that confirms its duty.
 *
 * <p>Idea: hosts do not check fencing tokens, so a successor must not order a host while an order
 * of the former holder may be on its way. Without the record it would have to leave all hosts alone
 * until the platform's order spacing has passed. With it, only those that the record names.
 *
 * <p>Why it is right: a former holder sends an order only after its write was applied, which
 * requires that the store still named it as the holder. A successor reads the record after it has
 * acquired the duty, so the record names every host that the former one may still order. A write
 * that takes effect late cannot replace a newer record, because it requires the last known
 * revision.
 *
 * <p>Worked case: a holder writes hosts 4 and 5 into the record, orders 4 and fails. Its successor
 * acquires the duty 2 s later, orders host 6 at once, and host 5 after the order spacing.
 */
final class FleetDutyRecord {
    private static final long RETRY_MILLIS = 200;

    private final BatchRuntime runtime;
    private long revision;
    private boolean writing;

    FleetDutyRecord(BatchRuntime runtime) {
        this.runtime = runtime;
    }

    /**
     * Reads the record, and repeats that until it succeeds.
     *
     * @param wanted returns whether the record is still wanted
     * @param then receives the state; empty if there is none or it cannot be decoded
     */
    void load(Wanted wanted, Consumer<Optional<FleetDutyState>> then) {
        writing = false;
        runtime.store()
                .get(StoreKeys.FLEET_DUTY_STATE)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        entry -> {
                            if (wanted.isWanted()) {
                                revision =
                                        entry.map(StoreEntry::revision)
                                                .orElse(KeyValueStore.ABSENT);
                                then.accept(entry.flatMap(this::decode));
                            }
                        },
                        failure -> {
                            logFailure("read", failure);
                            if (wanted.isWanted()) {
                                runtime.after(RETRY_MILLIS, () -> load(wanted, then));
                            }
                        });
    }

    private Optional<FleetDutyState> decode(StoreEntry entry) {
        try {
            return Optional.of(FleetDutyState.decode(entry.value()));
        } catch (FormatException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
            return Optional.empty();
        }
    }

    /** Returns whether a write is not answered yet; there is at most one. */
    boolean isWriting() {
        return writing;
    }

    /**
     * Writes the record if the duty is still held.
     *
     * @param then called once the write was applied, which confirms the duty as of the call
     * @param onLost called if the store names another holder
     */
    void write(DutyOwnership held, FleetDutyState state, Runnable then, Runnable onLost) {
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(held.key(), held.token())
                        .expect(StoreKeys.FLEET_DUTY_STATE, revision)
                        .put(StoreKeys.FLEET_DUTY_STATE, state.encode())
                        .build();
        writing = true;
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        result -> {
                            writing = false;
                            onWritten(held, result, then, onLost);
                        },
                        failure -> {
                            writing = false;
                            logFailure("write", failure);
                        });
    }

    /**
     * Handles the answer to a write. If it was refused although the duty is held, an earlier write
     * without an answer was applied; the next one continues from the revision of that.
     */
    private void onWritten(
            DutyOwnership held, CommitResult result, Runnable then, Runnable onLost) {
        if (result.applied()) {
            revision = result.revision();
            then.run();
        } else if (result.currentRevision(held.key()) == held.token()) {
            revision = result.currentRevision(StoreKeys.FLEET_DUTY_STATE);
        } else {
            onLost.run();
        }
    }

    private void logFailure(String call, Throwable failure) {
        runtime.log().log(
                Event.STORE_FAILED,
                "call",
                call + " fleet duty record",
                "cause",
                failure.getMessage());
    }

    /** Tells whether the result of a read is still wanted. */
    interface Wanted {
        boolean isWanted();
    }
}
