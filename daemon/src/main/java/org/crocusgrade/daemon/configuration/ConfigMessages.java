package org.crocusgrade.daemon.configuration;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.config.BlobId;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigHeadCodec;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.peer.proto.ConfigDigestMessage;
import org.crocusgrade.peer.proto.ConfigPullMessage;
import org.crocusgrade.peer.proto.ConfigPushMessage;
import org.crocusgrade.peer.proto.Envelope;

/** Writes the messages that hand configuration from daemon to daemon. */
public final class ConfigMessages {
    /** Most characters of files in one message, well below the largest frame. */
    private static final int MAX_CHARS = 512 << 10;

    private ConfigMessages() {}

    /** Writes which version is held, and where answers go. */
    public static Envelope digest(ConfigVersion version, InetSocketAddress address) {
        return Envelope.newBuilder()
                .setConfigDigest(
                        ConfigDigestMessage.newBuilder()
                                .setVersion(version.value())
                                .setAddress(Addresses.format(address)))
                .build();
    }

    /** Asks for the head and for files. */
    public static Envelope pull(Collection<BlobId> files, InetSocketAddress address) {
        ConfigPullMessage.Builder pull = ConfigPullMessage.newBuilder();
        files.forEach(file -> pull.addFiles(file.value()));
        return Envelope.newBuilder()
                .setConfigPull(pull.setAddress(Addresses.format(address)))
                .build();
    }

    /** Hands over the head and files, in as many messages as their size takes. */
    public static List<Envelope> push(
            ConfigBundle bundle, Collection<String> files, Optional<DaemonId> root) {
        ByteString head = ByteString.copyFrom(ConfigHeadCodec.write(bundle.head()));
        List<Envelope> messages = new ArrayList<>();
        ConfigPushMessage.Builder part = start(head, root);
        int size = 0;
        for (String file : files) {
            if (size > 0 && size + file.length() > MAX_CHARS) {
                messages.add(Envelope.newBuilder().setConfigPush(part).build());
                part = start(head, root);
                size = 0;
            }
            part.addFiles(file);
            size += file.length();
        }
        messages.add(Envelope.newBuilder().setConfigPush(part).build());
        return messages;
    }

    private static ConfigPushMessage.Builder start(ByteString head, Optional<DaemonId> root) {
        ConfigPushMessage.Builder part = ConfigPushMessage.newBuilder().setHead(head);
        root.ifPresent(id -> part.setRoot(id.value()));
        return part;
    }
}
