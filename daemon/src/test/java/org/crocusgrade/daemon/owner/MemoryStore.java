package org.crocusgrade.daemon.owner;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.WatchResult;
import org.crocusgrade.standin.platform.KeyValueState;

/** An in-memory store that can be taken down or lose the answer to a write. */
final class MemoryStore implements KeyValueStore {
    private final KeyValueState state;
    private boolean down;
    private boolean losesNextAnswer;

    MemoryStore(Clock clock) {
        state = new KeyValueState(clock);
    }

    private interface Call<T> {
        T run() throws StoreException;
    }

    void setDown(boolean value) {
        down = value;
    }

    /** Makes the next write take effect but fail with a lost answer. */
    void loseNextAnswer() {
        losesNextAnswer = true;
    }

    private <T> Uni<T> call(Call<T> call) {
        if (down) {
            return Uni.createFrom()
                    .failure(new StoreException(StoreException.Kind.UNREACHED, "down"));
        }
        try {
            return Uni.createFrom().item(call.run());
        } catch (StoreException e) {
            return Uni.createFrom().failure(e);
        }
    }

    @Override
    public Uni<Optional<StoreEntry>> get(String key) {
        return call(() -> state.get(key));
    }

    @Override
    public Uni<List<StoreEntry>> list(String prefix) {
        return call(() -> state.list(prefix));
    }

    @Override
    public Uni<Long> compareAndSet(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        Uni<Long> answer = call(() -> state.compareAndSet(key, expected, value, lease));
        if (!losesNextAnswer) {
            return answer;
        }
        losesNextAnswer = false;
        return Uni.createFrom()
                .failure(new StoreException(StoreException.Kind.ANSWER_LOST, "lost"));
    }

    @Override
    public Uni<Void> delete(String key, long expected) {
        return call(
                () -> {
                    state.delete(key, expected);
                    return null;
                });
    }

    @Override
    public Uni<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
        return Uni.createFrom().nothing();
    }

    @Override
    public Uni<LeaseId> grantLease(Duration timeToLive) {
        return call(() -> state.grantLease(timeToLive));
    }

    @Override
    public Uni<Void> renewLease(LeaseId lease) {
        return call(
                () -> {
                    state.renewLease(lease);
                    return null;
                });
    }

    @Override
    public Uni<Void> revokeLease(LeaseId lease) {
        return call(
                () -> {
                    state.revokeLease(lease);
                    return null;
                });
    }
}
