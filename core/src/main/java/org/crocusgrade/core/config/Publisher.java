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
 * Publishes configuration: stores the new files under their digests, then replaces the head by
 * compare-and-set.
 *
 * <p>Stored files never change, so concurrent publishers can conflict only in the write of the
 * head. A publisher whose write conflicts reads the head again. If the concurrent publish did not
 * change any service that this one changes, the change is applied to the new head and retried.
 * Otherwise this publish is rejected, and the error names the concurrent one, since the author has
 * not seen the change that would be overwritten.
 *
 * <p>If the answer to a write of the head is lost, the write may have taken effect, or may do so a
 * little later. The outcome follows from the history in the head: if the record of the version that
 * the write would have created has this publish's id, the publish took effect; if it has another
 * id, the write can never take effect, since the head no longer has the revision that it expects.
 * While the head is unchanged, the same write is sent again with the same expected revision. At
 * most one of the two writes can succeed; if the delayed one does, the second fails with a conflict
 * and the history contains this publish. If the history no longer contains the version, the outcome
 * is reported as unknown.
 */
public final class Publisher {
    private static final int MAX_ATTEMPTS = 50;

    private final KeyValueStore store;
    private final Clock clock;
    private final ConfigLoader loader;

    /** Creates a publisher that takes the times of publishes from the clock. */
    public Publisher(KeyValueStore store, Clock clock) {
        this.store = store;
        this.clock = clock;
        this.loader = new ConfigLoader(store);
    }

    /**
     * The result of a publish.
     *
     * @param version the version that it created, or the stored version if nothing changed
     * @param changed whether the publish created a version
     * @param rebased the number of attempts that were repeated, after a conflict or a lost answer
     */
    public record Result(ConfigVersion version, boolean changed, int rebased) {}

    /**
     * The state of one publish; {@code uncertain} is set while a write of the head whose answer was
     * lost may still take effect.
     */
    private record Job(
            PublishId id,
            ConfigChange change,
            ConfigHead base,
            Instant at,
            int tries,
            boolean uncertain) {
        Job nextAttempt(boolean answerLost) {
            return new Job(id, change, base, at, tries + 1, uncertain || answerLost);
        }

        Job resolved() {
            return new Job(id, change, base, at, tries, false);
        }
    }

    /** Loads the configuration that is in the store. */
    public Uni<ConfigBundle> current() {
        return loader.load(ConfigBundle.EMPTY).map(Loaded::bundle);
    }

    /**
     * Returns the bundle that a change would result in; throws if the files contradict each other.
     */
    public static ConfigBundle preview(ConfigBundle base, ConfigChange change)
            throws ConfigException {
        ConfigHead head =
                base.head().next(base.head().publish(), Instant.EPOCH, change.applyTo(base.head()));
        return ConfigBundle.assemble(head, change.files(), base);
    }

    /**
     * Publishes a change. Fails with a {@link PublishException}, or with a {@link ConfigException}
     * if the change is inconsistent with the stored configuration.
     *
     * @param base the head that the change is based on
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
                .chain(() -> replaceHead(loaded.revision(), next))
                .map(done -> new Result(next.version(), true, job.tries()))
                .onFailure(Publisher::mayRetry)
                .recoverWithUni(
                        e -> readBack(job.nextAttempt(isAnswerLost(e)), next.version(), bundle))
                .onFailure(StoreException.class)
                .transform(e -> storeFailed(job, e));
    }

    private Uni<Long> replaceHead(long expected, ConfigHead next) {
        byte[] json = ConfigHeadCodec.write(next);
        return store.compareAndSet(ConfigHead.KEY, expected, json, Optional.empty());
    }

    /** Reads the head after a conflict or a lost answer, and completes or retries the publish. */
    private Uni<Result> readBack(Job job, ConfigVersion wanted, ConfigBundle previous) {
        return loader.load(previous)
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
        if (job.uncertain() && movedOn && head.findVersion(wanted).isEmpty()) {
            return Uni.createFrom().failure(unresolved(job.id()));
        }
        Job next = movedOn ? job.resolved() : job;
        if (next.tries() < MAX_ATTEMPTS) {
            return attempt(next, loaded);
        }
        return Uni.createFrom()
                .failure(next.uncertain() ? unresolved(next.id()) : tooManyConflicts(next));
    }

    /**
     * Returns an exception if another publish has changed a service that this one changes, other
     * than to the same file.
     */
    private static Optional<PublishException> refusal(Job job, ConfigHead head) {
        Map<ServiceId, BlobId> wanted = job.change().applyTo(head);
        for (ServiceId service : job.change().touched()) {
            Optional<BlobId> now = head.blob(service);
            boolean unchanged = now.equals(job.base().blob(service));
            boolean alreadyApplied = Objects.equals(now.orElse(null), wanted.get(service));
            if (unchanged || alreadyApplied) {
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

    /**
     * Stores a file unless it is present. Its key contains its digest, so every writer stores the
     * same content.
     */
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
                StoreException.Kind.UNREACHED,
                "could not store a service file: it is absent after the write failed",
                failure);
    }

    private static boolean mayRetry(Throwable e) {
        return e instanceof StoreException s
                && (s.kind() == StoreException.Kind.CONFLICT
                        || s.kind() == StoreException.Kind.ANSWER_LOST);
    }

    private static boolean isAnswerLost(Throwable e) {
        return e instanceof StoreException s && s.kind() == StoreException.Kind.ANSWER_LOST;
    }

    private static PublishException storeFailed(Job job, Throwable cause) {
        if (job.uncertain()) {
            return unresolved(job.id());
        }
        return new PublishException(
                Kind.STORE_FAILED, "the platform's service failed: " + cause.getMessage(), cause);
    }

    private static PublishException tooManyConflicts(Job job) {
        return new PublishException(
                Kind.CROWDED, "other publishes changed the head first " + job.tries() + " times");
    }

    private static PublishException unresolved(PublishId id) {
        return new PublishException(
                Kind.UNRESOLVED,
                "publish " + id + " may have taken effect; look for it in config history");
    }
}
