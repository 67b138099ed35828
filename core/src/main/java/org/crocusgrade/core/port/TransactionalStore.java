package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.util.Optional;

/** A key-value service that changes several entries at once. */
public interface TransactionalStore extends KeyValueStore {
    /**
     * Applies all changes if all conditions hold. If one does not hold, the Uni completes with a
     * result that is not applied; it does not fail.
     */
    Uni<CommitResult> commit(StoreTransaction transaction);

    @Override
    default Uni<Long> compareAndSet(
            String key, long expected, byte[] value, Optional<LeaseId> lease) {
        StoreTransaction.Builder change = StoreTransaction.builder().expect(key, expected);
        lease.ifPresentOrElse(l -> change.put(key, value, l), () -> change.put(key, value));
        return commit(change.build())
                .flatMap(r -> requireApplied(key, r))
                .map(CommitResult::revision);
    }

    @Override
    default Uni<Void> delete(String key, long expected) {
        StoreTransaction change =
                StoreTransaction.builder().expect(key, expected).delete(key).build();
        return commit(change).flatMap(r -> requireApplied(key, r)).replaceWithVoid();
    }

    private static Uni<CommitResult> requireApplied(String key, CommitResult result) {
        if (result.applied()) {
            return Uni.createFrom().item(result);
        }
        return Uni.createFrom()
                .failure(
                        new StoreException(
                                StoreException.Kind.CONFLICT, "unexpected revision of key " + key));
    }
}
