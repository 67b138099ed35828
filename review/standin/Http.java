import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP servers and a client for the stand-ins; all addresses are loopback addresses. */
final class Http {
    private Http() {}

    /** An answer; status 0 if none came. */
    record Answer(int status, Map<String, String> headers, String body) {}

    /** Handles one request. */
    interface Handler {
        Answer handle(String method, String path, HttpExchange exchange, String body)
                throws Exception;
    }

    static Answer answer(int status, Object json) {
        return new Answer(status, Map.of(), json == null ? "" : Json.write(json));
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    static HttpServer serve(String ip, int port, Handler handler) throws IOException {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName(ip), port), 200);
        server.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread thread = new Thread(r);
                            thread.setDaemon(true);
                            return thread;
                        }));
        server.createContext("/", e -> handle(e, handler));
        server.start();
        return server;
    }

    private static void handle(HttpExchange exchange, Handler handler) throws IOException {
        String body =
                new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Answer answer;
        try {
            answer =
                    handler.handle(
                            exchange.getRequestMethod(),
                            exchange.getRequestURI().getPath(),
                            exchange,
                            body);
        } catch (Exception e) {
            e.printStackTrace();
            answer = new Answer(500, Map.of(), "");
        }
        if (answer == null) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(answer.status, bytes.length == 0 ? -1 : bytes.length);
        if (bytes.length > 0) {
            exchange.getResponseBody().write(bytes);
        }
        exchange.close();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> found = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                found.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return found;
    }

    /** Sends one request on a connection of its own. */
    static Answer call(
            String ip, int port, String host, String method, String path, String body, int timeout) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), timeout);
            socket.setSoTimeout(timeout);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
                            + "Content-Type: application/json\r\nContent-Length: " + bytes.length
                            + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, Map.of(), String.valueOf(e.getMessage()));
        }
    }

    private static Answer read(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        in.transferTo(bytes);
        String all = bytes.toString(StandardCharsets.UTF_8);
        int end = all.indexOf("\r\n\r\n");
        if (end < 0) {
            throw new IOException("no answer");
        }
        String[] lines = all.substring(0, end).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Answer(
                Integer.parseInt(lines[0].split(" ")[1]), headers, all.substring(end + 4));
    }
}
