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
 * Hands configuration from daemon to daemon, and holds the newest. Everything runs on one thread
 * but {@link #held}.
 */
public final class ConfigExchange {
    /** How many others each daemon hands a new configuration to. */
    public static final int FAN_OUT = 4;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DaemonId self;
    private final InetSocketAddress address;
    private final BiConsumer<DaemonId, Envelope> send;
    private final BiConsumer<DaemonId, InetSocketAddress> setAddress;
    private final Consumer<ConfigBundle> listener;
    private final int fanOut;
    private final ConfigReplica replica = new ConfigReplica();
    private volatile ConfigBundle held = ConfigBundle.EMPTY;
    private Map<DaemonId, AvailabilityZone> members = Map.of();
    private DistributionTree tree;
    private final Map<ConfigVersion, DaemonId> roots = new HashMap<>();
    private boolean heard;

    /**
     * Makes an exchange.
     *
     * @param address where this daemon listens for peers
     * @param send sends a message, or drops it
     * @param setAddress tells the link where a daemon listens that is not in the member list
     * @param listener gets each newer configuration
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
        this.tree = new DistributionTree(members, fanOut);
    }

    /** Returns the configuration in force, from any thread. */
    public ConfigBundle held() {
        return held;
    }

    /** Returns whether another daemon has told its version since the start. */
    public boolean heard() {
        return heard;
    }

    /** Takes the member list. */
    public void setMembers(Map<DaemonId, AvailabilityZone> next) {
        members = Map.copyOf(next);
        tree = new DistributionTree(members, fanOut);
    }

    /** Returns whether this daemon is to wait at the platform for its zone. */
    public boolean isWatcher(AvailabilityZone zone) {
        return zone == null || tree.watcher(zone).map(self::equals).orElse(true);
    }

    /** Takes a configuration read from the platform, and hands it on if it is newer. */
    public void onStore(ConfigBundle bundle) {
        ConfigBundle before = held;
        if (replica.take(bundle) == ConfigReplica.Result.TAKEN) {
            inForce(before, self);
        }
    }

    /** Tells another daemon the version held; it answers if either side lacks one. */
    public void greet(DaemonId to) {
        send.accept(to, ConfigMessages.digest(held.head().version(), address));
    }

    /** Registers what this part takes of the other daemons' messages. */
    public void register(PeerInbox inbox) {
        inbox.on(BodyCase.CONFIG_DIGEST, (from, run, m) -> onDigest(from, m.getConfigDigest()))
                .on(BodyCase.CONFIG_PULL, (from, run, m) -> onPull(from, m.getConfigPull()))
                .on(BodyCase.CONFIG_PUSH, (from, run, m) -> onPush(from, m.getConfigPush()));
    }

    /** Takes another daemon's version. */
    public void onDigest(DaemonId from, ConfigDigestMessage message) {
        heard = true;
        learn(from, message.getAddress());
        ConfigVersion theirs = new ConfigVersion(message.getVersion());
        int order = held.head().version().compareTo(theirs);
        if (order > 0) {
            send.accept(from, ConfigMessages.push(held, List.of(), Optional.empty()));
        } else if (order < 0) {
            send.accept(from, ConfigMessages.pull(List.of(), address));
        }
    }

    /** Answers with the head and the files asked for. */
    public void onPull(DaemonId from, ConfigPullMessage message) {
        learn(from, message.getAddress());
        Map<BlobId, String> all = held.filesMissingFrom(ConfigHead.NONE);
        List<String> files = new ArrayList<>();
        for (String wanted : message.getFilesList()) {
            String file = all.get(new BlobId(wanted));
            if (file != null) {
                files.add(file);
            }
        }
        send.accept(from, ConfigMessages.push(held, files, Optional.empty()));
    }

    /** Takes a head and files, asks for what is missing, hands the whole on. */
    public void onPush(DaemonId from, ConfigPushMessage message) {
        heard = true;
        ConfigBundle before = held;
        try {
            ConfigHead head = ConfigHeadCodec.read(message.getHead().toByteArray());
            Optional<DaemonId> named =
                    Optional.of(message.getRoot()).filter(r -> !r.isEmpty()).map(DaemonId::new);
            switch (replica.take(head, message.getFilesList())) {
                case TAKEN -> inForce(before, named.or(() -> rootOf(head)).orElse(null));
                case INCOMPLETE -> {
                    named.ifPresent(root -> keepRoot(head, root));
                    send.accept(from, ConfigMessages.pull(replica.lacking(), address));
                }
                default -> {}
            }
        } catch (ConfigException e) {
            logger.atWarning().log("config: refused what %s sent: %s", from, e.getMessage());
        }
    }

    /** Keeps the root of the newest version under way. */
    private void keepRoot(ConfigHead head, DaemonId root) {
        roots.clear();
        roots.put(head.version(), root);
    }

    /** Returns the tree's root that a version came from in its first message, if it had one. */
    private Optional<DaemonId> rootOf(ConfigHead head) {
        return Optional.ofNullable(roots.get(head.version()));
    }

    /**
     * Puts what the replica holds in force and hands it on: along the tree that it came by, or, if
     * it came by no tree, along one from here when this daemon is its zone's watcher.
     */
    private void inForce(ConfigBundle before, DaemonId root) {
        held = replica.held();
        roots.clear();
        logger.atInfo().log("config: version %d is in force", held.head().version().value());
        DaemonId from = root == null && isWatcher(members.get(self)) ? self : root;
        List<DaemonId> children = from == null ? List.of() : tree.children(self, from);
        if (!children.isEmpty()) {
            Collection<String> files = held.filesMissingFrom(before.head()).values();
            Envelope message = ConfigMessages.push(held, files, Optional.of(from));
            children.forEach(child -> send.accept(child, message));
        }
        listener.accept(held);
    }

    private void learn(DaemonId from, String text) {
        if (!members.containsKey(from) && !text.isEmpty()) {
            setAddress.accept(from, Addresses.parse(text));
        }
    }
}
