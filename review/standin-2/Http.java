import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server on a loopback address; each call has a thread of its own. */
final class Http {
    /** Handles a call; null means that it gets no answer and its channel is closed. */
    interface Handler {
        Answer handle(Call call) throws Exception;
    }

    record Call(
            String method,
            String path,
            Map<String, String> query,
            Map<String, Object> body,
            HttpExchange exchange) {
        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }
    }

    record Answer(int status, Object body) {}

    static final Answer NONE = null;

    private final HttpServer server;
    private final ExecutorService threads =
            Executors.newCachedThreadPool(
                    r -> {
                        Thread t = new Thread(r, "http");
                        t.setDaemon(true);
                        return t;
                    });

    Http(String host, int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 512);
        server.createContext("/", e -> serve(e, handler));
        server.setExecutor(threads);
        server.start();
    }

    String address() {
        InetSocketAddress a = server.getAddress();
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    void stop() {
        server.stop(0);
        threads.shutdownNow();
    }

    private static void serve(HttpExchange exchange, Handler handler) {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            if (raw != null) {
                for (String part : raw.split("&")) {
                    int eq = part.indexOf('=');
                    query.put(
                            part.substring(0, eq),
                            URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8));
                }
            }
            Map<String, Object> body = Json.object(new String(bytes, StandardCharsets.UTF_8));
            Answer answer =
                    handler.handle(
                            new Call(
                                    exchange.getRequestMethod(),
                                    exchange.getRequestURI().getPath(),
                                    query,
                                    body,
                                    exchange));
            if (answer == NONE) {
                exchange.close();
                return;
            }
            byte[] out =
                    answer.body == null
                            ? new byte[0]
                            : Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().add("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status, out.length == 0 ? -1 : out.length);
            if (out.length > 0) {
                exchange.getResponseBody().write(out);
            }
            exchange.close();
        } catch (Exception e) {
            exchange.close();
        }
    }
}
