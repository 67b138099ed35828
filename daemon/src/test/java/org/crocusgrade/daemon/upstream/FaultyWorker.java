package org.crocusgrade.daemon.upstream;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A worker on plain sockets with faults for tests: the last segment of the request path selects the
 * fault, and every other segment gets a correct answer.
 */
public final class FaultyWorker implements AutoCloseable {
    private static final int RESET_ON_CLOSE_LINGER_SECONDS = 0;
    private static final String BODY = "0123456789";
    private static final int MANY_CHUNKS = 1000;

    private final ServerSocket server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<String> requests = new CopyOnWriteArrayList<>();

    /** Starts the worker on the loopback address. */
    public FaultyWorker() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        threads.execute(this::accept);
    }

    /** Returns the address on which it listens. */
    public InetSocketAddress address() {
        return new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    }

    /** Returns method and path of each request that was read completely. */
    public List<String> requests() {
        return List.copyOf(requests);
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                threads.execute(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Map<String, String> head = readHead(in);
            while (!head.isEmpty()) {
                in.readNBytes(Integer.parseInt(head.getOrDefault("content-length", "0")));
                requests.add(head.get("line").split(" HTTP")[0]);
                if (!answer(socket, head)) {
                    return;
                }
                head = readHead(in);
            }
        } catch (IOException | InterruptedException e) {
            // The client closed the connection, or the test has ended.
        } finally {
            sockets.remove(socket);
        }
    }

    private static Map<String, String> readHead(InputStream in) throws IOException {
        Map<String, String> head = new HashMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(": ");
            if (head.isEmpty()) {
                head.put("line", line);
            } else {
                head.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 2));
            }
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c >= 0 && c != '\n'; c = in.read()) {
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Writes the answer; returns whether the connection stays open. */
    private static boolean answer(Socket socket, Map<String, String> head)
            throws IOException, InterruptedException {
        String path = head.get("line").split(" ")[1];
        String id = head.getOrDefault("crocusgrade-request", "none");
        OutputStream out = socket.getOutputStream();
        switch (path.substring(path.lastIndexOf('/') + 1)) {
            case "stall":
                write(out, answer(200, id, "Content-Length: 10", "01234"));
                Thread.sleep(Long.MAX_VALUE);
                return false;
            case "silent":
                Thread.sleep(Long.MAX_VALUE);
                return false;
            case "trickle":
                write(out, answer(200, id, "Content-Length: " + MANY_CHUNKS, ""));
                for (int i = 0; i < MANY_CHUNKS; i++) {
                    write(out, "x");
                    Thread.sleep(20);
                }
                return true;
            case "reset":
                socket.setSoLinger(true, RESET_ON_CLOSE_LINGER_SECONDS);
                return false;
            case "reset-in-body":
                write(out, answer(200, id, "Content-Length: 10", "01234"));
                Thread.sleep(50);
                socket.setSoLinger(true, RESET_ON_CLOSE_LINGER_SECONDS);
                return false;
            case "close":
                return false;
            case "short":
                write(out, answer(200, id, "Content-Length: 10", "01234"));
                return false;
            case "other-id":
                write(out, answer(200, "another", "Content-Length: 10", BODY));
                return true;
            case "no-id":
                write(out, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n" + BODY);
                return true;
            case "no-length":
                write(out, answer(200, id, "Connection: close", BODY));
                return false;
            case "twice":
                write(out, answer(200, id, "Content-Length: 10", BODY).repeat(2));
                return true;
            case "late-twice":
                write(out, answer(200, id, "Content-Length: 10", BODY));
                Thread.sleep(30);
                write(out, answer(200, id, "Content-Length: 10", "stale body"));
                return true;
            case "refuse":
                write(out, answer(503, id, "Crocusgrade-Refused: slots\r\nContent-Length: 0", ""));
                return true;
            case "untrue-refusal":
                write(out, answer(200, id, "Crocusgrade-Refused: slots\r\nContent-Length: 0", ""));
                return true;
            case "fail":
                write(out, answer(500, id, "Content-Length: 10", BODY));
                return true;
            case "no-content":
                write(out, answer(204, id, "X-Some: thing", ""));
                return true;
            default:
                boolean bodiless = head.get("line").startsWith("HEAD");
                write(out, answer(200, id, "Content-Length: 10", bodiless ? "" : BODY));
                return true;
        }
    }

    private static String answer(int status, String id, String header, String body) {
        return "HTTP/1.1 "
                + status
                + " Some\r\nCrocusgrade-Request: "
                + id
                + "\r\n"
                + header
                + "\r\n\r\n"
                + body;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        threads.shutdownNow();
    }
}
