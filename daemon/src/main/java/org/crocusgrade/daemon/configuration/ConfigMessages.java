package org.crocusgrade.daemon.configuration;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.Collection;
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
    private static final int MAX_CHARS = 256 << 10;

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

    /**
     * Hands over the head and as many of the files as fit; the receiver asks for the rest, so that
     * no more is under way to it than it has asked for.
     */
    public static Envelope push(
            ConfigBundle bundle, Collection<String> files, Optional<DaemonId> root) {
        ConfigPushMessage.Builder push =
                ConfigPushMessage.newBuilder()
                        .setHead(ByteString.copyFrom(ConfigHeadCodec.write(bundle.head())));
        root.ifPresent(id -> push.setRoot(id.value()));
        int size = 0;
        for (String file : files) {
            size += file.length();
            if (size > MAX_CHARS) {
                break;
            }
            push.addFiles(file);
        }
        return Envelope.newBuilder().setConfigPush(push).build();
    }
}
