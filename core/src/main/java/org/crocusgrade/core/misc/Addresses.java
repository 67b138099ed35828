package org.crocusgrade.core.misc;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Pattern;

/** Parses and formats addresses of the form {@code IP:PORT}; host names are not resolved. */
public final class Addresses {
    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("\\[[0-9a-fA-F:.]+]");
    private static final int MAX_PORT = 65535;

    private Addresses() {}

    /**
     * Parses an address such as {@code 127.0.0.1:8080} or {@code [::1]:8080}.
     *
     * @throws IllegalArgumentException if the text is not an IP address and a port
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            throw new IllegalArgumentException("must be IP:PORT");
        }
        String host = text.substring(0, colon);
        if (!IPV4.matcher(host).matches() && !IPV6.matcher(host).matches()) {
            throw new IllegalArgumentException("must start with an IP number");
        }
        return new InetSocketAddress(address(host), port(text.substring(colon + 1)));
    }

    /** Formats a resolved address so that {@link #parse} accepts it. */
    public static String format(InetSocketAddress address) {
        String host = address.getAddress().getHostAddress();
        return (host.contains(":") ? "[" + host + "]" : host) + ":" + address.getPort();
    }

    private static InetAddress address(String host) {
        try {
            return InetAddress.getByName(host);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("must start with an IP number", e);
        }
    }

    private static int port(String text) {
        try {
            int port = Integer.parseInt(text);
            if (port >= 0 && port <= MAX_PORT) {
                return port;
            }
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("must end with a port", e);
        }
        throw new IllegalArgumentException("port must be 0 to 65535");
    }
}
