package org.crocusgrade.core.config;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.ConfigLoader.Loaded;
import org.crocusgrade.core.config.PublishException.Kind;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;

/**
 * Publishes configuration: stores the new files under their digests, then swaps the head.
 *
 * <p>Stored files never change, so only the swap of the head can be raced. A publisher that loses
 * the race reads the head again. If the winner left alone the services that this publish touches,
 * the change is put on top of the new head; if not, the publish is refused and names the other one,
 * since its author has not seen what he would overwrite.
 *
 * <p>A swap whose answer is lost may have taken effect, now or a little later. The head's history
 * tells: the entry for the version that the swap would have made has either this publish's id, and
 * the publish took effect, or another's, and it never will, since the revision it expects is gone.
 * While the head is still the one read before, the same swap is sent again with the same expected
 * revision: of the two at most one can succeed, and if it is the late one, the second fails and the
 * history shows why. When the history no longer reaches back, the outcome is reported as unknown.
 */
public final class Publisher {
    private static final int MAX_ATTEMPTS = 50;

    private final KeyValueStore store;
    private final Clock clock;
    private final ConfigLoader loader;

    /** Makes a publisher. */
    public Publisher(KeyValueStore store, Clock clock) {
        this.store = store;
        this.clock = clock;
        this.loader = new ConfigLoader(store);
    }

    /**
     * The result of a publish.
     *
     * @param version the version that it made, or the one in the store when nothing differed
     * @param changed whether anything differed
     * @param rebased how often other publishes came first
     */
    public record Result(ConfigVersion version, boolean changed, int rebased) {}

    /** One publish under way; open tells that a swap without an answer may yet take effect. */
    private record Job(
            PublishId id,
            ConfigChange change,
            ConfigHead base,
            Instant at,
            int tries,
            boolean open) {
        Job again(boolean answerLost) {
            return new Job(id, change, base, at, tries + 1, open || answerLost);
        }

        Job settled() {
            return new Job(id, change, base, at, tries, false);
        }
    }

    /** Reads what the store holds now. */
    public Uni<ConfigBundle> current() {
        return loader.load(ConfigBundle.EMPTY).map(Loaded::bundle);
    }

    /** Returns what a change would make of a bundle; fails if the files contradict each other. */
    public static ConfigBundle preview(ConfigBundle base, ConfigChange change)
            throws ConfigException {
        ConfigHead head =
                base.head().next(base.head().publish(), Instant.EPOCH, change.applyTo(base.head()));
        return ConfigBundle.assemble(head, change.files(), base);
    }

    /**
     * Publishes a change. Fails with a {@link PublishException}, or with a {@link ConfigException}
     * when the change contradicts what others have published.
     *
     * @param base the head that the author has seen
     */
    public Uni<Result> publish(PublishId id, ConfigChange change, ConfigHead base) {
        Job job = new Job(id, change, base, clock.now(), 0, false);
        return loader.load(ConfigBundle.EMPTY)
                .onFailure(StoreException.class)
                .transform(e -> storeFailed(job, e))
                .chain(loaded -> attempt(job, loaded));
    }

    private Uni<Result> attempt(Job job, Loaded loaded) {
        ConfigBundle bundle = loaded.bundle();
        ConfigHead head = bundle.head();
        Optional<PublishException> refusal = refusal(job, head);
        if (refusal.isPresent()) {
            return Uni.createFrom().failure(refusal.get());
        }
        Map<ServiceId, BlobId> services = job.change().applyTo(head);
        if (services.equals(head.services())) {
            return Uni.createFrom().item(new Result(head.version(), false, job.tries()));
        }
        ConfigHead next = head.next(job.id(), job.at(), services);
        try {
            ConfigBundle.assemble(next, job.change().files(), bundle);
        } catch (ConfigException e) {
            return Uni.createFrom().failure(e);
        }
        return storeFiles(job.change())
                .chain(() -> swap(loaded.revision(), next))
                .map(done -> new Result(next.version(), true, job.tries()))
                .onFailure(Publisher::mayRetry)
                .recoverWithUni(e -> readBack(job.again(lost(e)), next.version(), bundle))
                .onFailure(StoreException.class)
                .transform(e -> storeFailed(job, e));
    }

    private Uni<Long> swap(long expected, ConfigHead next) {
        byte[] json = ConfigHeadCodec.write(next);
        return store.compareAndSet(ConfigHead.KEY, expected, json, Optional.empty());
    }

    /** Finds out what became of a swap, and goes on from there. */
    private Uni<Result> readBack(Job job, ConfigVersion wanted, ConfigBundle held) {
        return loader.load(held)
                .onFailure(StoreException.class)
                .transform(e -> storeFailed(job, e))
                .chain(loaded -> resolve(job, wanted, loaded));
    }

    private Uni<Result> resolve(Job job, ConfigVersion wanted, Loaded loaded) {
        ConfigHead head = loaded.bundle().head();
        Optional<PublishRecord> own = head.find(job.id());
        if (own.isPresent()) {
            return Uni.createFrom().item(new Result(own.get().version(), true, job.tries()));
        }
        boolean movedOn = head.version().compareTo(wanted) >= 0;
        if (job.open() && movedOn && head.made(wanted).isEmpty()) {
            return Uni.createFrom().failure(unresolved(job.id()));
        }
        Job next = movedOn ? job.settled() : job;
        if (next.tries() < MAX_ATTEMPTS) {
            return attempt(next, loaded);
        }
        return Uni.createFrom().failure(next.open() ? unresolved(next.id()) : crowded(next));
    }

    /** Refuses when another publish has changed a service that this one touches. */
    private static Optional<PublishException> refusal(Job job, ConfigHead head) {
        Map<ServiceId, BlobId> wanted = job.change().applyTo(head);
        for (ServiceId service : job.change().touched()) {
            Optional<BlobId> now = head.blob(service);
            boolean same = now.equals(job.base().blob(service));
            boolean already = Objects.equals(now.orElse(null), wanted.get(service));
            if (same || already) {
                continue;
            }
            String other =
                    head.lastChange(service)
                            .map(
                                    r ->
                                            "publish "
                                                    + r.publish()
                                                    + " (version "
                                                    + r.version().value()
                                                    + ")")
                            .orElse("an earlier publish");
            return Optional.of(
                    new PublishException(
                            Kind.OVERTAKEN,
                            "service " + service + " was changed meanwhile by " + other));
        }
        return Optional.empty();
    }

    private Uni<Void> storeFiles(ConfigChange change) {
        return Multi.createFrom()
                .iterable(change.files().entrySet())
                .onItem()
                .transformToUniAndConcatenate(f -> storeFile(f.getKey(), f.getValue()))
                .collect()
                .asList()
                .replaceWithVoid();
    }

    /** Stores a file unless it is there; its key is its digest, so any writer writes the same. */
    private Uni<Long> storeFile(BlobId blob, String text) {
        String key = ConfigHead.blobKey(blob);
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return store.get(key)
                .chain(
                        found -> {
                            if (found.isPresent()) {
                                return Uni.createFrom().item(found.get().revision());
                            }
                            return store.compareAndSet(
                                    key, KeyValueStore.ABSENT, bytes, Optional.empty());
                        })
                .onFailure(Publisher::mayRetry)
                .recoverWithUni(e -> confirmFile(key, (StoreException) e));
    }

    private Uni<Long> confirmFile(String key, StoreException failure) {
        return store.get(key)
                .chain(
                        found ->
                                found.map(StoreEntry::revision)
                                        .map(r -> Uni.createFrom().item(r))
                                        .orElseGet(
                                                () ->
                                                        Uni.createFrom()
                                                                .failure(notStored(failure))));
    }

    private static StoreException notStored(StoreException failure) {
        return new StoreException(
                StoreException.Kind.UNREACHED, "a service file could not be stored", failure);
    }

    private static boolean mayRetry(Throwable e) {
        return e instanceof StoreException s
                && (s.kind() == StoreException.Kind.CONFLICT
                        || s.kind() == StoreException.Kind.ANSWER_LOST);
    }

    private static boolean lost(Throwable e) {
        return e instanceof StoreException s && s.kind() == StoreException.Kind.ANSWER_LOST;
    }

    private static PublishException storeFailed(Job job, Throwable cause) {
        if (job.open()) {
            return unresolved(job.id());
        }
        return new PublishException(
                Kind.STORE_FAILED, "the platform's service failed: " + cause.getMessage(), cause);
    }

    private static PublishException crowded(Job job) {
        return new PublishException(
                Kind.CROWDED, "other publishes came first " + job.tries() + " times");
    }

    private static PublishException unresolved(PublishId id) {
        return new PublishException(
                Kind.UNRESOLVED,
                "publish " + id + " may have taken effect; look for it in config history");
    }
}
