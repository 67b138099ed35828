package bed;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server, with one thread for each connection, and a client. */
final class Http {
    private Http() {}

    record Request(String method, String path, String query, Map<String, String> headers, String body) {
        String parameter(String name) {
            for (String part : query.split("&")) {
                if (part.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(
                            part.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }
    }

    record Response(int status, String body) {
        static Response of(int status, Object... keysAndValues) {
            return new Response(status, Json.write(Json.map(keysAndValues)));
        }

        boolean isSuccess() {
            return status / 100 == 2;
        }
    }

    /** Answers requests; null closes the connection without an answer. */
    interface Handler {
        Response answer(Request request) throws Exception;
    }

    static final class Server {
        private final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();
        private volatile boolean down;
        private volatile boolean dark;
        private final java.util.List<Socket> filling = new java.util.ArrayList<>();

        Server(InetSocketAddress address, Handler handler) throws IOException {
            this(address, handler, 200);
        }

        Server(InetSocketAddress address, Handler handler, int queue) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, queue);
            thread("accept", this::accept);
        }

        InetSocketAddress address() {
            return (InetSocketAddress) socket.getLocalSocketAddress();
        }

        private void accept() {
            while (!down) {
                try {
                    Socket connection = socket.accept();
                    open.add(connection);
                    if (dark) {
                        return;
                    }
                    thread("serve", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 1 << 16);
                while (!down) {
                    Request request = read(in);
                    if (request == null) {
                        return;
                    }
                    Response response;
                    try {
                        response = handler.answer(request);
                    } catch (Exception e) {
                        response = Response.of(400, "error", String.valueOf(e));
                    }
                    while (dark) {
                        Bed.sleep(1000);
                    }
                    if (response == null || down) {
                        return;
                    }
                    write(connection.getOutputStream(), "HTTP/1.1 " + response.status + " x\r\n", response.body);
                }
            } catch (IOException | RuntimeException e) {
                // The client has left.
            } finally {
                open.remove(connection);
            }
        }

        /**
         * Falls silent as a machine does that loses power: open connections carry nothing more,
         * and attempts to open others are not answered, once the queue of new ones is full.
         */
        void goDark() throws IOException {
            dark = true;
            for (int i = 0; i < 4; i++) {
                Socket socket = new Socket();
                filling.add(socket);
                try {
                    socket.connect(address(), 100);
                } catch (java.net.SocketTimeoutException e) {
                    return;
                }
            }
        }

        /** Ends as a process does that is killed: the port is closed, and all connections. */
        void crash() {
            down = true;
            try {
                socket.close();
                for (Socket connection : open) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    private static void write(OutputStream out, String head, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        ByteArrayOutputStream all = new ByteArrayOutputStream(bytes.length + 200);
        all.write(head.getBytes(StandardCharsets.US_ASCII));
        String rest = "Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        all.write(rest.getBytes(StandardCharsets.US_ASCII));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = headers(in);
        String[] words = first.split(" ");
        int mark = words[1].indexOf('?');
        String path = mark < 0 ? words[1] : words[1].substring(0, mark);
        String query = mark < 0 ? "" : words[1].substring(mark + 1);
        return new Request(words[0], path, query, headers, body(in, headers));
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static String body(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(line(in).trim(), 16);
                all.write(in.readNBytes(size));
                line(in);
                if (size == 0) {
                    return all.toString(StandardCharsets.UTF_8);
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the body broke off");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        if (c < 0) {
            return null;
        }
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request on a connection of its own; status 0 means that no answer came. */
    static Response call(
            InetSocketAddress to, String method, String host, String path, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(to, timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            String head =
                    method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nDeadline-Ms: " + timeoutMillis + "\r\n";
            write(socket.getOutputStream(), head, body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) {
                return new Response(0, "no answer: closed");
            }
            Map<String, String> headers = headers(in);
            return new Response(Integer.parseInt(first.split(" ")[1]), body(in, headers));
        } catch (IOException | RuntimeException e) {
            return new Response(0, "no answer: " + e);
        }
    }

    static Thread thread(String name, Runnable work) {
        Thread thread = new Thread(null, work, name, 1 << 18);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }
}
