package bed;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A sound store of the platform, as PROTOCOL.md describes it. */
final class Store {
    /** The time that SYSTEM.md gives for an answer of the store. */
    private static final long ANSWER_MILLIS = 4;

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.map("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Event(long revision, String key, Map<String, Object> json) {}

    private static final class Lease {
        private long ttlNanos;
        private long endNanos;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long nextLease = 100;
    private final Http.Server server;

    Store(String host) throws Exception {
        server = new Http.Server(new InetSocketAddress(host, 0), this::answer);
        Http.thread("leases", this::endLeases);
    }

    InetSocketAddress address() {
        return server.address();
    }

    /** Writes an item on behalf of the operator or of a worker. */
    synchronized long put(String key, Map<String, Object> value) {
        byte[] bytes = Json.write(value).getBytes(StandardCharsets.UTF_8);
        revision++;
        set(key, Base64.getEncoder().encodeToString(bytes), 0);
        notifyAll();
        return revision;
    }

    synchronized void remove(String key) {
        if (items.containsKey(key)) {
            revision++;
            drop(key);
            notifyAll();
        }
    }

    /** Returns the text of an item, empty if there is none. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? "" : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    synchronized int count(String prefix) {
        return items.subMap(prefix, prefix + '\uffff').size();
    }

    synchronized long bytes(String prefix) {
        long sum = 0;
        for (Item item : items.subMap(prefix, prefix + '\uffff').values()) {
            sum += item.value.length() * 3L / 4;
        }
        return sum;
    }

    private void set(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        addEvent(key, item.json());
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            addEvent(key, Json.map("key", key, "revision", revision, "removed", true));
        }
    }

    private void addEvent(String key, Map<String, Object> json) {
        events.add(new Event(revision, key, json));
        if (events.size() > 20_000) {
            events.subList(0, 5_000).clear();
        }
    }

    private void endLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (now - lease.endNanos > 0) {
                        ended.add(id);
                    }
                });
                ended.forEach(this::end);
            }
            Bed.sleep(20);
        }
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.values().stream().filter(i -> i.lease == id).forEach(i -> keys.add(i.key));
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::drop);
            notifyAll();
        }
    }

    private Http.Response answer(Http.Request request) throws InterruptedException {
        String path = request.path();
        Thread.sleep(ANSWER_MILLIS);
        if (path.equals("/kv-key")) {
            return key(request);
        }
        if (path.equals("/kv-range")) {
            return range(request);
        }
        if (path.equals("/kv-watch")) {
            return watch(request);
        }
        if (path.equals("/kv-txn")) {
            return transaction(Json.object(request.body()));
        }
        synchronized (this) {
            if (path.equals("/kv-lease")) {
                Lease lease = new Lease();
                long ttl = Json.number(Json.object(request.body()), "ttl_ms", 1000);
                lease.ttlNanos = Math.max(1000, ttl) * 1_000_000;
                lease.endNanos = System.nanoTime() + lease.ttlNanos;
                leases.put(++nextLease, lease);
                return Http.Response.of(200, "lease", nextLease, "ttl_ms", lease.ttlNanos / 1_000_000);
            }
            long id = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
            Lease lease = leases.get(id);
            if (lease == null) {
                return Http.Response.of(404, "error", "no such lease");
            }
            if (path.startsWith("/kv-keep/")) {
                lease.endNanos = System.nanoTime() + lease.ttlNanos;
                return Http.Response.of(200, "ttl_ms", lease.ttlNanos / 1_000_000);
            }
            end(id);
            return Http.Response.of(200);
        }
    }

    private synchronized Http.Response key(Http.Request request) {
        Item item = items.get(request.parameter("key"));
        if (item == null) {
            return Http.Response.of(404, "as_of", revision);
        }
        Map<String, Object> json = item.json();
        json.put("as_of", revision);
        return new Http.Response(200, Json.write(json));
    }

    private Http.Response range(Http.Request request) {
        String prefix = request.parameter("prefix");
        String after = request.parameter("after");
        List<Map<String, Object>> found = new ArrayList<>();
        boolean more = false;
        long asOf;
        synchronized (this) {
            asOf = revision;
            int bytes = 0;
            String from = after.isEmpty() ? prefix : after;
            for (Item item : items.tailMap(from, after.isEmpty()).values()) {
                if (!item.key.startsWith(prefix)) {
                    break;
                }
                if (found.size() >= PAGE_ITEMS || bytes > PAGE_BYTES - item.value.length()) {
                    more = true;
                    break;
                }
                bytes += item.value.length() + 100;
                found.add(item.json());
            }
        }
        return Http.Response.of(200, "items", found, "has_more", more, "as_of", asOf);
    }

    private synchronized Http.Response watch(Http.Request request) throws InterruptedException {
        String prefix = request.parameter("prefix");
        long after = Long.parseLong(request.parameter("after"));
        long wait = Math.min(30_000, Long.parseLong(request.parameter("wait_ms")));
        long end = System.nanoTime() + wait * 1_000_000;
        if (!events.isEmpty() && events.get(0).revision > after + 1 && events.size() >= 15_000) {
            return Http.Response.of(410, "error", "history is gone");
        }
        while (true) {
            List<Object> found = new ArrayList<>();
            for (int i = events.size() - 1; i >= 0 && events.get(i).revision > after; i--) {
                if (events.get(i).key.startsWith(prefix)) {
                    found.add(0, events.get(i).json);
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!found.isEmpty() || left <= 0) {
                return Http.Response.of(200, "events", found, "as_of", revision);
            }
            after = revision;
            wait(Math.max(1, left));
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response transaction(Map<String, Object> body) {
        boolean holds = true;
        List<Object> current = new ArrayList<>();
        for (Object row : Json.list(body, "precondition")) {
            Map<String, Object> condition = (Map<String, Object>) row;
            Item item = items.get((String) condition.get("key"));
            holds &= Json.number(condition, "revision", 0) == (item == null ? 0 : item.revision);
            current.add(item == null ? Json.map("key", condition.get("key"), "revision", 0L) : item.json());
        }
        if (!holds) {
            return Http.Response.of(412, "items", current);
        }
        for (Object row : Json.list(body, "put")) {
            long lease = Json.number((Map<String, Object>) row, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return Http.Response.of(404, "error", "no such lease");
            }
        }
        revision++;
        for (Object row : Json.list(body, "put")) {
            Map<String, Object> put = (Map<String, Object>) row;
            set((String) put.get("key"), (String) put.get("value"), Json.number(put, "lease", 0));
        }
        for (Object key : Json.list(body, "delete_keys")) {
            drop((String) key);
        }
        notifyAll();
        return Http.Response.of(200, "revision", revision);
    }
}
