package org.crocusgrade.daemon.configuration;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.crocusgrade.core.config.BlobId;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.ConfigHeadCodec;
import org.crocusgrade.core.config.ConfigReplica;
import org.crocusgrade.core.config.DistributionTree;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.daemon.link.PeerInbox;
import org.crocusgrade.peer.proto.ConfigDigestMessage;
import org.crocusgrade.peer.proto.ConfigPullMessage;
import org.crocusgrade.peer.proto.ConfigPushMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

/**
 * Distributes configuration between daemons, and holds the newest version. All methods but {@link
 * #current} run on one thread.
 */
public final class ConfigExchange {
    /** Maximum number of daemons that one daemon forwards a new configuration to. */
    public static final int FAN_OUT = 4;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DaemonId self;
    private final InetSocketAddress address;
    private final BiConsumer<DaemonId, Envelope> send;
    private final BiConsumer<DaemonId, InetSocketAddress> setAddress;
    private final Consumer<ConfigBundle> listener;
    private final int fanOut;
    private final ConfigReplica replica = new ConfigReplica();
    private volatile ConfigBundle current = ConfigBundle.EMPTY;
    private Map<DaemonId, AvailabilityZone> members = Map.of();
    private DistributionTree distributionTree;
    private final Map<ConfigVersion, DaemonId> roots = new HashMap<>();
    private boolean receivedFromPeer;

    /**
     * Creates an exchange with an empty configuration.
     *
     * @param address where this daemon listens for peers
     * @param send sends a message, or drops it
     * @param setAddress sets the peer address of a daemon that is not in the member list
     * @param listener called with each newer configuration
     */
    public ConfigExchange(
            DaemonId self,
            InetSocketAddress address,
            BiConsumer<DaemonId, Envelope> send,
            BiConsumer<DaemonId, InetSocketAddress> setAddress,
            Consumer<ConfigBundle> listener,
            int fanOut) {
        this.self = self;
        this.address = address;
        this.send = send;
        this.setAddress = setAddress;
        this.listener = listener;
        this.fanOut = fanOut;
        this.distributionTree = new DistributionTree(members, fanOut);
    }

    /** Returns the configuration in force, from any thread. */
    public ConfigBundle current() {
        return current;
    }

    /** Returns whether a version or configuration of another daemon has arrived since the start. */
    public boolean receivedFromPeer() {
        return receivedFromPeer;
    }

    /** Sets the members with their zones. */
    public void setMembers(Map<DaemonId, AvailabilityZone> next) {
        members = Map.copyOf(next);
        distributionTree = new DistributionTree(members, fanOut);
    }

    /**
     * Returns whether this daemon watches the platform's service for its zone; true if the zone is
     * unknown or has no member.
     */
    public boolean isWatcher(AvailabilityZone zone) {
        return zone == null || distributionTree.watcher(zone).map(self::equals).orElse(true);
    }

    /**
     * Handles a configuration read from the platform's service; a newer one is activated and
     * forwarded.
     */
    public void onStore(ConfigBundle bundle) {
        ConfigBundle before = current;
        if (replica.apply(bundle) == ConfigReplica.Result.APPLIED) {
            activate(before, self);
        }
    }

    /** Sends the current version to another daemon, which replies if either side is behind. */
    public void sendDigest(DaemonId to) {
        send.accept(to, ConfigMessages.digest(current.head().version(), address));
    }

    /** Registers handlers for the configuration messages of other daemons. */
    public void register(PeerInbox inbox) {
        inbox.on(BodyCase.CONFIG_DIGEST, (from, boot, m) -> onDigest(from, m.getConfigDigest()))
                .on(BodyCase.CONFIG_PULL, (from, boot, m) -> onPull(from, m.getConfigPull()))
                .on(BodyCase.CONFIG_PUSH, (from, boot, m) -> onPush(from, m.getConfigPush()));
    }

    /**
     * Compares another daemon's version with the current one: pushes the configuration if that
     * daemon is behind, or requests it if this one is.
     */
    public void onDigest(DaemonId from, ConfigDigestMessage message) {
        receivedFromPeer = true;
        recordAddress(from, message.getAddress());
        ConfigVersion peerVersion = new ConfigVersion(message.getVersion());
        int order = current.head().version().compareTo(peerVersion);
        if (order > 0) {
            send.accept(from, ConfigMessages.push(current, List.of(), Optional.empty()));
        } else if (order < 0) {
            send.accept(from, ConfigMessages.pull(List.of(), address));
        }
    }

    /** Replies with the head and those of the requested files that are current. */
    public void onPull(DaemonId from, ConfigPullMessage message) {
        recordAddress(from, message.getAddress());
        Map<BlobId, String> available = current.filesMissingFrom(ConfigHead.NONE);
        List<String> files = new ArrayList<>();
        for (String requested : message.getFilesList()) {
            String file = available.get(new BlobId(requested));
            if (file != null) {
                files.add(file);
            }
        }
        send.accept(from, ConfigMessages.push(current, files, Optional.empty()));
    }

    /**
     * Handles a head and files: requests files that are missing, and activates and forwards the
     * configuration once it is complete.
     */
    public void onPush(DaemonId from, ConfigPushMessage message) {
        receivedFromPeer = true;
        ConfigBundle before = current;
        try {
            ConfigHead head = ConfigHeadCodec.read(message.getHead().toByteArray());
            Optional<DaemonId> namedRoot =
                    Optional.of(message.getRoot()).filter(r -> !r.isEmpty()).map(DaemonId::new);
            switch (replica.apply(head, message.getFilesList())) {
                case APPLIED -> activate(before, namedRoot.or(() -> rootOf(head)).orElse(null));
                case INCOMPLETE -> {
                    namedRoot.ifPresent(root -> recordRoot(head, root));
                    send.accept(from, ConfigMessages.pull(replica.missingFileIds(), address));
                }
                default -> {}
            }
        } catch (ConfigException e) {
            logger.atWarning().log(
                    "config: rejected configuration from %s: %s", from, e.getMessage());
        }
    }

    /**
     * Records the tree's root of the version that is being received; only one version is tracked.
     */
    private void recordRoot(ConfigHead head, DaemonId root) {
        roots.clear();
        roots.put(head.version(), root);
    }

    /**
     * Returns the tree's root that was recorded for a version from an earlier message, if there was
     * one.
     */
    private Optional<DaemonId> rootOf(ConfigHead head) {
        return Optional.ofNullable(roots.get(head.version()));
    }

    /**
     * Activates the replica's configuration and forwards it along the tree with the given root.
     * Without a root, because it arrived outside a tree, it is forwarded along a tree rooted here
     * if this daemon is its zone's watcher, and not at all otherwise.
     *
     * @param before the configuration that it replaces; receivers are sent the files it lacks
     * @param root may be null
     */
    private void activate(ConfigBundle before, DaemonId root) {
        current = replica.current();
        roots.clear();
        logger.atInfo().log("config: version %d is in force", current.head().version().value());
        DaemonId from = root == null && isWatcher(members.get(self)) ? self : root;
        List<DaemonId> children = from == null ? List.of() : distributionTree.children(self, from);
        if (!children.isEmpty()) {
            Collection<String> files = current.filesMissingFrom(before.head()).values();
            Envelope message = ConfigMessages.push(current, files, Optional.of(from));
            children.forEach(child -> send.accept(child, message));
        }
        listener.accept(current);
    }

    private void recordAddress(DaemonId from, String text) {
        if (!members.containsKey(from) && !text.isEmpty()) {
            setAddress.accept(from, Addresses.parse(text));
        }
    }
}
