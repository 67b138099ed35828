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

/** Creates the messages that distribute configuration between daemons. */
public final class ConfigMessages {
    /** Maximum characters of files in one message, well below the maximum frame size. */
    private static final int MAX_FILE_CHARS = 256 << 10;

    private ConfigMessages() {}

    /** Creates a message with this daemon's version and the address for replies. */
    public static Envelope digest(ConfigVersion version, InetSocketAddress address) {
        return Envelope.newBuilder()
                .setConfigDigest(
                        ConfigDigestMessage.newBuilder()
                                .setVersion(version.value())
                                .setAddress(Addresses.format(address)))
                .build();
    }

    /** Creates a request for the head and for files. */
    public static Envelope pull(Collection<BlobId> files, InetSocketAddress address) {
        ConfigPullMessage.Builder pull = ConfigPullMessage.newBuilder();
        files.forEach(file -> pull.addFiles(file.value()));
        return Envelope.newBuilder()
                .setConfigPull(pull.setAddress(Addresses.format(address)))
                .build();
    }

    /**
     * Creates a message with the head and as many of the files as fit. The receiver requests the
     * rest, so no more data is in transit to it than it has requested.
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
            if (size > MAX_FILE_CHARS) {
                break;
            }
            push.addFiles(file);
        }
        return Envelope.newBuilder().setConfigPush(push).build();
    }
}
