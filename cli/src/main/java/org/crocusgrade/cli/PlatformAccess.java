package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.net.InetSocketAddress;
import org.crocusgrade.core.port.KeyValueStore;

/** Network access of a command: the platform, and the HTTP endpoints of the daemons. */
public interface PlatformAccess extends AutoCloseable {
    /** Returns the platform's address, for messages. */
    InetSocketAddress address();

    KeyValueStore store();

    /**
     * Reads a JSON page from a daemon's operators' port; fails if the daemon does not answer in
     * time.
     */
    Uni<JsonNode> page(InetSocketAddress operators, String path);

    @Override
    void close();
}
