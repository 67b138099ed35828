package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Uni;
import java.net.InetSocketAddress;
import org.crocusgrade.core.port.KeyValueStore;

/** What a command reaches over the network. */
public interface PlatformAccess extends AutoCloseable {
    /** Returns the platform's address, for messages. */
    InetSocketAddress address();

    /** Returns the platform's key-value service. */
    KeyValueStore store();

    /** Reads a JSON page of a daemon's operators' port; fails when it does not answer in time. */
    Uni<JsonNode> page(InetSocketAddress operators, String path);

    @Override
    void close();
}
