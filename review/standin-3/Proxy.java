package bed;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on to a server; those that are open can be made to carry nothing more. */
final class Proxy {
    private final ServerSocket socket;
    private volatile InetSocketAddress to;
    private volatile boolean cut;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private static final class Link {
        private final Socket client;
        private final Socket server;
        private volatile boolean silent;

        Link(Socket client, Socket server) {
            this.client = client;
            this.server = server;
        }
    }

    Proxy(String host, InetSocketAddress to) throws IOException {
        this.to = to;
        socket = new ServerSocket();
        socket.bind(new InetSocketAddress(host, 0), 200);
        Http.thread("proxy", this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Makes the open connections silent for good, without a reset; returns how many there are. */
    int silence() {
        links.forEach(l -> l.silent = true);
        return links.size();
    }

    /** Passes new connections on to another server. */
    void passTo(InetSocketAddress server) {
        to = server;
    }

    /** Cuts the server off: what is sent to it or by it is lost, until the cut is healed. */
    void setCut(boolean next) {
        cut = next;
        if (next) {
            silence();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket client = socket.accept();
                Socket server = new Socket();
                server.connect(to, 1000);
                client.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Link link = new Link(client, server);
                link.silent = cut;
                links.add(link);
                Http.thread("pass", () -> pass(link, client, server));
                Http.thread("pass", () -> pass(link, server, client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pass(Link link, Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[1 << 16];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!link.silent) {
                    out.write(buffer, 0, n);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // One side has closed.
        } finally {
            links.remove(link);
            close(link.client);
            close(link.server);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
