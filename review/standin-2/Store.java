import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, as PROTOCOL.md tells it. */
final class Store {
    /** Decides about a call before it is carried out. */
    interface Gate {
        /** Returns how long the call takes, in milliseconds. */
        long delayMillis(String port, Http.Call call);
    }

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.of(
                    "key", key, "value", value, "revision", revision, "created", created, "lease",
                    lease);
        }
    }

    private record Change(long revision, String key, Item item) {}

    private static final class Lease {
        long ttlMillis;
        long endNanos;
    }

    private static final int PAGE = 500;

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 100;
    private long lastLease = 7;
    /** While it is down, each call is answered with 503, and leases run out. */
    volatile boolean down;

    volatile Gate gate = (port, call) -> 4;

    Store() {
        Thread t = new Thread(this::expire, "leases");
        t.setDaemon(true);
        t.start();
    }

    /** Opens an address of the store; each daemon has one of its own. */
    Http open(String name) throws Exception {
        return new Http("127.0.0.1", 0, c -> handle(name, c));
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                for (Long id : new ArrayList<>(leases.keySet())) {
                    if (now - leases.get(id).endNanos > 0) {
                        end(id);
                    }
                }
            }
        }
    }

    private void end(long lease) {
        leases.remove(lease);
        List<String> keys = new ArrayList<>();
        items.values().stream().filter(i -> i.lease == lease).forEach(i -> keys.add(i.key));
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            history.add(new Change(revision, key, null));
        }
    }

    private void put(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        history.add(new Change(revision, key, item));
    }

    /** Writes as the operator or a worker does. */
    synchronized void write(String key, Object json) {
        revision++;
        put(key, Base64.getEncoder().encodeToString(Json.write(json).getBytes()), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
        notifyAll();
    }

    synchronized byte[] read(String key) {
        Item item = items.get(key);
        return item == null ? null : Base64.getDecoder().decode(item.value);
    }

    synchronized List<String> keys(String prefix) {
        return new ArrayList<>(items.subMap(prefix, prefix + "\uffff").keySet());
    }

    private Http.Answer handle(String port, Http.Call call) throws Exception {
        long delay = gate.delayMillis(port, call);
        if (delay < 0) {
            Thread.sleep(60_000);
            return Http.NONE;
        }
        Thread.sleep(delay);
        return down ? new Http.Answer(503, null) : execute(call);
    }

    private Http.Answer execute(Http.Call call) throws Exception {
        String path = call.path();
        if (path.equals("/kv-watch")) {
            return watch(call);
        }
        synchronized (this) {
            if (path.equals("/kv-key")) {
                Item item = items.get(call.query().get("key"));
                if (item == null) {
                    return new Http.Answer(404, Json.of("as_of", revision));
                }
                Map<String, Object> body = new LinkedHashMap<>(item.json());
                body.put("as_of", revision);
                return new Http.Answer(200, body);
            }
            if (path.equals("/kv-range")) {
                return range(call);
            }
            if (path.equals("/kv-txn")) {
                return transaction(call);
            }
            if (path.equals("/kv-lease")) {
                Lease lease = new Lease();
                lease.ttlMillis = Math.max(1000, Json.number(call.body(), "ttl_ms", 1000));
                lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
                leases.put(++lastLease, lease);
                return new Http.Answer(
                        200, Json.of("lease", lastLease, "ttl_ms", lease.ttlMillis));
            }
            if (path.startsWith("/kv-keep/") || path.startsWith("/kv-lease-end/")) {
                long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
                Lease lease = leases.get(id);
                if (lease == null) {
                    return new Http.Answer(404, null);
                }
                if (path.startsWith("/kv-lease-end/")) {
                    end(id);
                    return new Http.Answer(200, new LinkedHashMap<>());
                }
                lease.endNanos = System.nanoTime() + lease.ttlMillis * 1_000_000;
                return new Http.Answer(200, Json.of("ttl_ms", lease.ttlMillis));
            }
        }
        return new Http.Answer(400, null);
    }

    private Http.Answer range(Http.Call call) {
        String prefix = call.query().get("prefix");
        String after = call.query().getOrDefault("after", "");
        List<Object> found = new ArrayList<>();
        boolean more = false;
        int bytes = 0;
        for (Item item : items.subMap(prefix, prefix + "\uffff").values()) {
            if (item.key.compareTo(after) <= 0) {
                continue;
            }
            if (found.size() >= PAGE || bytes > 1_000_000) {
                more = true;
                break;
            }
            found.add(item.json());
            bytes += item.value.length();
        }
        return new Http.Answer(
                200, Json.of("items", found, "has_more", more, "as_of", revision));
    }

    @SuppressWarnings("unchecked")
    private Http.Answer transaction(Http.Call call) {
        List<Object> conditions = list(call.body().get("precondition"));
        List<Object> puts = list(call.body().get("put"));
        List<Object> deletes = list(call.body().get("delete_keys"));
        if (conditions.size() + puts.size() + deletes.size() > 32) {
            return new Http.Answer(400, null);
        }
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            holds &= Json.number(condition, "revision", 0) == (item == null ? 0 : item.revision);
            if (item != null) {
                current.add(item.json());
            }
        }
        if (!holds) {
            return new Http.Answer(412, Json.of("items", current));
        }
        for (Object row : puts) {
            long lease = Json.number((Map<String, Object>) row, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Http.Answer(404, null);
            }
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            put((String) put.get("key"), (String) put.get("value"), Json.number(put, "lease", 0));
        }
        deletes.forEach(k -> remove((String) k));
        notifyAll();
        return new Http.Answer(200, Json.of("revision", revision));
    }

    @SuppressWarnings("unchecked")
    private static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private Http.Answer watch(Http.Call call) throws InterruptedException {
        String prefix = call.query().get("prefix");
        long after = Long.parseLong(call.query().get("after"));
        long endNanos =
                System.nanoTime() + Long.parseLong(call.query().get("wait_ms")) * 1_000_000;
        synchronized (this) {
            while (true) {
                if (down) {
                    return new Http.Answer(503, null);
                }
                List<Object> events = new ArrayList<>();
                for (int i = history.size() - 1; i >= 0; i--) {
                    Change change = history.get(i);
                    if (change.revision <= after) {
                        break;
                    }
                    if (change.key.startsWith(prefix)) {
                        events.add(
                                0,
                                change.item != null
                                        ? change.item.json()
                                        : Json.of(
                                                "key",
                                                change.key,
                                                "revision",
                                                change.revision,
                                                "removed",
                                                true));
                    }
                }
                long left = (endNanos - System.nanoTime()) / 1_000_000;
                if (!events.isEmpty() || left <= 0) {
                    return new Http.Answer(200, Json.of("events", events, "as_of", revision));
                }
                wait(left);
            }
        }
    }
}
