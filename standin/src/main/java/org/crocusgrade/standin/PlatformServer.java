package org.crocusgrade.standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.WatchResult;
import org.crocusgrade.standin.platform.CallCounts;
import org.crocusgrade.standin.platform.Change;
import org.crocusgrade.standin.platform.KeyValueState;
import org.crocusgrade.standin.platform.PlatformFaults;

/** The stand-in for the platform's key-value service, with the HTTP API of docs/PLATFORM.md. */
public final class PlatformServer extends HttpStandin {
    /** Maximum time that a watch may wait for a change. */
    public static final Duration MAX_WATCH_WAIT = Duration.ofSeconds(60);

    private static final long EXPIRE_PERIOD_MS = 25;
    private static final long BODY_LIMIT_BYTES = KeyValueStore.MAX_VALUE_BYTES + 1L;

    /** The part of a call that works on the state; its exceptions become error answers. */
    private interface StoreOperation {
        void run() throws StoreException;
    }

    private record PendingWatch(RoutingContext context, String prefix, long after, long timer) {}

    private final KeyValueState state;
    private final CallCounts counts = new CallCounts();
    private final UniformRandomProvider random;
    private final Set<PendingWatch> pendingWatches = ConcurrentHashMap.newKeySet();
    private volatile PlatformFaults faults = PlatformFaults.NONE;
    private Vertx vertx;
    private long expireTimer;

    /** Creates a server; the seed determines which answers the fault of lost answers drops. */
    public PlatformServer(Clock clock, long seed) {
        this.state = new KeyValueState(clock);
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the counts of calls; calls dropped or stalled by a fault are not counted. */
    public CallCounts counts() {
        return counts;
    }

    /** Sets the faults of later calls; if these take the service down, closes pending watches. */
    public void setFaults(PlatformFaults faults) {
        this.faults = Objects.requireNonNull(faults);
        if (faults.down()) {
            pendingWatches.forEach(
                    pending -> closeWatch(pending, () -> closeConnection(pending.context())));
        }
    }

    /** Returns the changes of entries under the prefix, oldest first. */
    public List<Change> history(String prefix) {
        return state.history(prefix);
    }

    @Override
    void prepare(Vertx vertx, HttpServer server) {
        this.vertx = vertx;
        expireTimer =
                vertx.setPeriodic(
                        EXPIRE_PERIOD_MS,
                        id -> {
                            if (state.expire()) {
                                answerChanged();
                            }
                        });
    }

    @Override
    void release(Vertx vertx) {
        vertx.cancelTimer(expireTimer);
        pendingWatches.forEach(pending -> closeWatch(pending, () -> {}));
    }

    @Override
    Router routes(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(BODY_LIMIT_BYTES));
        router.put("/control/faults").handler(this::controlFaults);
        router.get("/control/calls").handler(c -> c.endAndForget(counts.toJson().encode()));
        router.get("/control/history").handler(this::controlHistory);
        router.route().handler(this::applyFaults);
        router.get("/kv/entry").handler(this::get);
        router.put("/kv/entry").handler(this::put);
        router.delete("/kv/entry").handler(this::delete);
        router.get("/kv/list").handler(this::list);
        router.get("/kv/watch").handler(this::watch);
        router.post("/lease").handler(this::grant);
        router.put("/lease/:id").handler(this::renew);
        router.delete("/lease/:id").handler(this::revoke);
        return router;
    }

    private void applyFaults(RoutingContext context) {
        PlatformFaults current = faults;
        if (current.down()) {
            closeConnection(context);
            return;
        }
        if (current.stall()) {
            return;
        }
        if (current.delay().isZero()) {
            context.next();
            return;
        }
        vertx.setTimer(current.delay().toMillis(), id -> context.next());
    }

    private void get(RoutingContext context) {
        counts.count(CallCounts.Kind.GET);
        execute(
                context,
                () -> {
                    Optional<StoreEntry> entry = state.get(param(context, "key"));
                    if (entry.isEmpty()) {
                        context.response().setStatusCode(404).endAndForget();
                        return;
                    }
                    String revision = Long.toString(entry.get().revision());
                    context.response().putHeader("Platform-Revision", revision);
                    context.endAndForget(Buffer.buffer(entry.get().value()));
                });
    }

    private void list(RoutingContext context) {
        counts.count(CallCounts.Kind.LIST);
        execute(
                context,
                () -> {
                    JsonArray entries = new JsonArray();
                    long revision = state.revision();
                    state.list(param(context, "prefix")).forEach(e -> entries.add(toJson(e)));
                    answer(
                            context,
                            new JsonObject().put("revision", revision).put("entries", entries));
                });
    }

    private void put(RoutingContext context) {
        counts.count(CallCounts.Kind.WRITE);
        String lease = context.request().getParam("lease");
        Optional<LeaseId> id =
                Optional.ofNullable(lease).map(text -> new LeaseId(Long.parseLong(text)));
        Buffer body = context.body().buffer();
        byte[] value = body == null ? new byte[0] : body.getBytes();
        write(
                context,
                () -> {
                    long expected = Long.parseLong(param(context, "expected"));
                    long newRevision =
                            state.compareAndSet(param(context, "key"), expected, value, id);
                    answer(context, new JsonObject().put("revision", newRevision));
                });
    }

    private void delete(RoutingContext context) {
        counts.count(CallCounts.Kind.DELETE);
        write(
                context,
                () -> {
                    long expected = Long.parseLong(param(context, "expected"));
                    state.delete(param(context, "key"), expected);
                    answer(context, new JsonObject());
                });
    }

    private void grant(RoutingContext context) {
        counts.count(CallCounts.Kind.LEASE);
        write(
                context,
                () -> {
                    Duration ttl = Duration.ofMillis(Long.parseLong(param(context, "ttlMs")));
                    LeaseId lease = state.grantLease(ttl);
                    answer(context, new JsonObject().put("lease", lease.value()));
                });
    }

    private void renew(RoutingContext context) {
        counts.count(CallCounts.Kind.LEASE);
        write(
                context,
                () -> {
                    state.renewLease(leaseOf(context));
                    answer(context, new JsonObject());
                });
    }

    private void revoke(RoutingContext context) {
        counts.count(CallCounts.Kind.LEASE);
        write(
                context,
                () -> {
                    state.revokeLease(leaseOf(context));
                    answer(context, new JsonObject());
                });
    }

    private void watch(RoutingContext context) {
        counts.count(CallCounts.Kind.WATCH);
        execute(
                context,
                () -> {
                    String prefix = param(context, "prefix");
                    long after = Long.parseLong(param(context, "after"));
                    long wait = Long.parseLong(param(context, "waitMs"));
                    if (wait < 1 || wait > MAX_WATCH_WAIT.toMillis()) {
                        throw new NumberFormatException("waitMs must be 1 to 60000");
                    }
                    long timer = vertx.setTimer(wait, this::timeOutWatch);
                    PendingWatch pending = new PendingWatch(context, prefix, after, timer);
                    counts.startWaiting();
                    pendingWatches.add(pending);
                    context.response().closeHandler(() -> closeWatch(pending, () -> {}));
                    answerChanged(pending);
                });
    }

    private void timeOutWatch(long timer) {
        for (PendingWatch pending : pendingWatches) {
            if (pending.timer() == timer) {
                WatchResult none = new WatchResult(state.revision(), List.of(), List.of());
                closeWatch(pending, () -> answer(pending.context(), toJson(none)));
            }
        }
    }

    private void answerChanged() {
        pendingWatches.forEach(this::answerChanged);
    }

    private void answerChanged(PendingWatch pending) {
        try {
            Optional<WatchResult> changes = state.changesAfter(pending.prefix(), pending.after());
            if (changes.isPresent()) {
                closeWatch(pending, () -> answer(pending.context(), toJson(changes.get())));
            }
        } catch (StoreException e) {
            closeWatch(pending, () -> refuse(pending.context(), e));
        }
    }

    private void closeWatch(PendingWatch pending, Runnable end) {
        if (pendingWatches.remove(pending)) {
            counts.stopWaiting();
            vertx.cancelTimer(pending.timer());
            end.run();
        }
    }

    /** Executes a write and then answers the pending watches that it concerns. */
    private void write(RoutingContext context, StoreOperation operation) {
        execute(context, operation);
        answerChanged();
    }

    /** Executes an operation and answers its errors with the matching HTTP status. */
    private void execute(RoutingContext context, StoreOperation operation) {
        try {
            operation.run();
        } catch (StoreException e) {
            refuse(context, e);
        } catch (IllegalArgumentException e) {
            refuse(context, new StoreException(StoreException.Kind.REFUSED, e.getMessage()));
        }
    }

    private void answer(RoutingContext context, JsonObject json) {
        boolean isWrite = !"GET".equals(context.request().method().name());
        if (isWrite && losesAnswer()) {
            closeConnection(context);
            return;
        }
        context.response().putHeader("Content-Type", "application/json");
        context.endAndForget(json.encode());
    }

    private synchronized boolean losesAnswer() {
        int percent = faults.loseAnswersPercent();
        return percent > 0 && random.nextInt(100) < percent;
    }

    private static void refuse(RoutingContext context, StoreException e) {
        int status =
                switch (e.kind()) {
                    case CONFLICT -> 409;
                    case LEASE_LOST -> 410;
                    default -> 400;
                };
        context.response().setStatusCode(status).endAndForget("" + e.getMessage());
    }

    private static void closeConnection(RoutingContext context) {
        context.request().connection().closeAndForget();
    }

    private static LeaseId leaseOf(RoutingContext context) {
        return new LeaseId(Long.parseLong(context.pathParam("id")));
    }

    private static String param(RoutingContext context, String name) {
        String value = context.request().getParam(name);
        if (value == null) {
            throw new IllegalArgumentException("parameter " + name + " is missing");
        }
        return value;
    }

    private void controlFaults(RoutingContext context) {
        execute(
                context,
                () -> {
                    setFaults(PlatformFaults.fromJson(context.body().asJsonObject()));
                    context.endAndForget();
                });
    }

    private void controlHistory(RoutingContext context) {
        JsonArray array = new JsonArray();
        for (Change change : state.history(param(context, "prefix"))) {
            JsonObject json =
                    new JsonObject()
                            .put("revision", change.revision())
                            .put("key", change.key())
                            .put("at", change.at().toString());
            change.value().ifPresent(v -> json.put("value", encode(v)));
            array.add(json);
        }
        context.endAndForget(array.encode());
    }

    private static JsonObject toJson(WatchResult result) {
        JsonArray changed = new JsonArray();
        result.changed().forEach(e -> changed.add(toJson(e)));
        return new JsonObject()
                .put("revision", result.revision())
                .put("changed", changed)
                .put("deleted", new JsonArray(result.deleted()));
    }

    private static JsonObject toJson(StoreEntry entry) {
        return new JsonObject()
                .put("key", entry.key())
                .put("revision", entry.revision())
                .put("value", encode(entry.value()));
    }

    private static String encode(byte[] value) {
        return Base64.getEncoder().encodeToString(value);
    }
}
