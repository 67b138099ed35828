import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: items, leases, transactions and watches. Workers and the operator write
 * with {@link #put}; an entry of a worker that has been silent for three check-ins is removed.
 */
final class Store {
    private static final int PAGE = 500;
    private static final long HISTORY_MILLIS = 20_000;
    private static final long SILENCE_MILLIS = 4_500;

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.object(
                    "key", key, "value", value, "revision", revision, "created", created, "lease",
                    lease);
        }
    }

    private record Event(long revision, long millis, String key, Map<String, Object> json) {}

    private static final class Lease {
        private final long ttl;
        private long until;

        Lease(long ttl) {
            this.ttl = ttl;
            until = now() + ttl;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Map<String, Long> beats = new HashMap<>();
    private final Deque<Event> history = new ArrayDeque<>();
    private long revision = 100;
    private long oldest = 100;
    private long lastLease = 1000;
    private HttpServer server;

    void start(String ip, int port) throws IOException {
        server = Http.serve(ip, port, this::handle);
        Thread thread = new Thread(this::expire);
        thread.setDaemon(true);
        thread.start();
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    /** Writes as the operator, a worker or another writer. */
    synchronized long put(String key, byte[] value) {
        revision++;
        store(key, Base64.getEncoder().encodeToString(value), 0);
        notifyAll();
        return revision;
    }

    synchronized void beat(String key, byte[] value) {
        beats.put(key, now());
        put(key, value);
    }

    synchronized void remove(String key) {
        beats.remove(key);
        if (items.containsKey(key)) {
            revision++;
            delete(key);
            notifyAll();
        }
    }

    synchronized String get(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value));
    }

    private void store(String key, String value, long lease) {
        Item last = items.get(key);
        Item item =
                new Item(key, value, revision, last == null ? revision : last.created, lease);
        items.put(key, item);
        record(key, item.json());
    }

    private void delete(String key) {
        if (items.remove(key) != null) {
            record(key, Json.object("key", key, "revision", revision, "removed", true));
        }
    }

    private void record(String key, Map<String, Object> json) {
        history.add(new Event(revision, now(), key, json));
        while (now() - history.peek().millis > HISTORY_MILLIS) {
            oldest = history.remove().revision;
        }
    }

    private void expire() {
        while (true) {
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = now();
                leases.entrySet().removeIf(e -> now > e.getValue().until && endLease(e.getKey()));
                List<String> silent = new ArrayList<>();
                beats.forEach((key, at) -> {
                    if (now - at > SILENCE_MILLIS) {
                        silent.add(key);
                    }
                });
                silent.forEach(this::remove);
            }
        }
    }

    private boolean endLease(long lease) {
        List<String> bound = new ArrayList<>();
        items.values().forEach(i -> {
            if (i.lease == lease) {
                bound.add(i.key);
            }
        });
        if (!bound.isEmpty()) {
            revision++;
            bound.forEach(this::delete);
            notifyAll();
        }
        return true;
    }

    private Http.Answer handle(String method, String path, HttpExchange exchange, String body)
            throws Exception {
        Map<String, String> query = Http.query(exchange);
        if (path.equals("/kv-key")) {
            return key(query.get("key"));
        }
        if (path.equals("/kv-range")) {
            return range(query.get("prefix"), query.getOrDefault("after", ""));
        }
        if (path.equals("/kv-watch")) {
            return watch(
                    query.get("prefix"),
                    Long.parseLong(query.get("after")),
                    Long.parseLong(query.getOrDefault("wait_ms", "0")));
        }
        if (path.equals("/kv-txn")) {
            return transact(Json.readObject(body));
        }
        if (path.equals("/kv-lease")) {
            return grant(Json.number(Json.readObject(body), "ttl_ms", 1000));
        }
        if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/kv-keep/".length())));
        }
        if (path.startsWith("/kv-lease-end/")) {
            return end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        }
        return Http.answer(404, null);
    }

    private synchronized Http.Answer key(String key) {
        Item item = items.get(key);
        return item == null ? Http.answer(404, null) : Http.answer(200, item.json());
    }

    private synchronized Http.Answer range(String prefix, String after) {
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Item item : items.tailMap(prefix, true).values()) {
            if (!item.key.startsWith(prefix)) {
                break;
            }
            if (item.key.compareTo(after) <= 0) {
                continue;
            }
            if (found.size() == PAGE) {
                more = true;
                break;
            }
            found.add(item.json());
        }
        return Http.answer(
                200, Json.object("items", found, "has_more", more, "as_of", revision));
    }

    private synchronized Http.Answer watch(String prefix, long after, long wait)
            throws InterruptedException {
        long until = now() + wait;
        while (true) {
            if (after < oldest) {
                return Http.answer(410, null);
            }
            List<Object> events = new ArrayList<>();
            for (Event event : history) {
                if (event.revision > after && event.key.startsWith(prefix)) {
                    events.add(event.json);
                }
            }
            long left = until - now();
            if (!events.isEmpty() || left <= 0) {
                return Http.answer(200, Json.object("events", events, "as_of", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer transact(Map<String, Object> body) {
        List<Object> conditions = Json.list(body, "precondition");
        List<Object> puts = Json.list(body, "put");
        List<Object> deletes = Json.list(body, "delete_keys");
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object row : conditions) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            long found = item == null ? 0 : item.revision;
            holds &= found == Json.number(condition, "revision", 0);
            if (item != null) {
                current.add(item.json());
            }
        }
        if (!holds) {
            return Http.answer(412, Json.object("items", current));
        }
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            String key = (String) put.get("key");
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return Http.answer(403, null);
            }
            long lease = Json.number(put, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return Http.answer(404, null);
            }
        }
        revision++;
        for (Object row : puts) {
            Map<String, Object> put = (Map<String, Object>) row;
            store(
                    (String) put.get("key"),
                    (String) put.get("value"),
                    Json.number(put, "lease", 0));
        }
        deletes.forEach(k -> delete((String) k));
        notifyAll();
        return Http.answer(200, Json.object("revision", revision));
    }

    private synchronized Http.Answer grant(long ttl) {
        leases.put(++lastLease, new Lease(ttl));
        return Http.answer(200, Json.object("lease", lastLease, "ttl_ms", ttl));
    }

    private synchronized Http.Answer keep(long lease) {
        Lease held = leases.get(lease);
        if (held == null) {
            return Http.answer(404, null);
        }
        held.until = now() + held.ttl;
        return Http.answer(200, Json.object("ttl_ms", held.ttl));
    }

    private synchronized Http.Answer end(long lease) {
        if (leases.remove(lease) == null) {
            return Http.answer(404, null);
        }
        endLease(lease);
        return Http.answer(200, Json.object());
    }
}
