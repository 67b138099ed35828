package org.crocusgrade.daemon.batch;

import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.crocusgrade.core.config.PoolPolicy;
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerKey;
import org.crocusgrade.peer.PeerLink;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.PeerNode;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/** One daemon's part in running submissions: wires duties, owners, peers and configuration. */
public final class BatchNode implements DutyKeeper.Listener, PeerCalls.Handler {
    private static final long TICK_MILLIS = 100;
    private static final long SWEEP_MILLIS = 5_000;
    private static final long RETRY_MILLIS = 200;

    private final Runtime runtime;
    private final Identity identity;
    private final BiFunction<PeerKey, PeerListener, PeerLink> links;
    private final QueueBook queues = new QueueBook();
    private final WorkerRegistry registry;
    private final PrefixWatcher operators;
    private final Map<ServiceId, PoolOwner> owners = new HashMap<>();
    private final FleetHolder fleet;
    private DutyKeeper duties;
    private PeerCalls peers;
    private AdviceDesk advice;
    private SubmissionGateway gateway;
    private Map<String, StoreEntry> operatorEntries = Map.of();

    /** Makes a node on the link between daemons; {@link #start} makes it join the others. */
    public BatchNode(Runtime runtime, Identity identity) {
        this(
                runtime,
                identity,
                (key, listener) -> new PeerNode(identity.daemon, identity.boot, key, listener, 1));
    }

    /** Makes a node on a link of the caller's. */
    BatchNode(
            Runtime runtime, Identity identity, BiFunction<PeerKey, PeerListener, PeerLink> links) {
        this.links = links;
        this.runtime = runtime;
        this.identity = identity;
        registry = new WorkerRegistry(runtime, this::onWorkers);
        operators =
                runtime.watcher(
                        runtime.format().operatorPrefix(), Duration.ZERO, this::onOperatorEntries);
        fleet = new FleetHolder(runtime, identity.daemon(), this::sendEvacuation);
    }

    /** Reads what the store has and joins the other daemons. */
    public void start() {
        operators.start();
        fetchPeerKey();
        runtime.every(TICK_MILLIS, this::tick);
        runtime.every(SWEEP_MILLIS, () -> owners.values().forEach(PoolOwner::sweep));
    }

    /** Returns the configuration in force. */
    public QueueTable queues() {
        return queues.table();
    }

    /** Returns the way to the owners of pools, once this daemon has joined the others. */
    public Optional<SubmissionGateway> gateway() {
        return Optional.ofNullable(gateway);
    }

    /** Returns the daemon that holds a duty, as far as this one knows. */
    Optional<DaemonId> holder(Duty duty) {
        return duties == null ? Optional.empty() : duties.holder(duty);
    }

    /** Returns what this daemon, as a pool's owner, tells of its workers. */
    List<WorkerStatusMessage> poolStatus(ServiceId service) {
        PoolOwner owner = owners.get(service);
        return owner == null || !owner.isLoaded() ? List.of() : owner.status().getWorkersList();
    }

    /** Hands all duties back so that others take them at once. */
    public void leave() {
        if (duties != null) {
            duties.release();
        }
    }

    /** Ends the connections to other daemons. */
    public void stop() {
        if (peers != null) {
            peers.stop();
        }
    }

    // Joining.

    private void fetchPeerKey() {
        runtime.store()
                .get(StoreKeys.PEER_KEY)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> e.ifPresentOrElse(k -> join(k.value()), this::makePeerKey),
                        f -> retryPeerKey("reading the key of the peer link", f));
    }

    private void makePeerKey() {
        byte[] key = new byte[PeerKey.MIN_BYTES * 2];
        new SecureRandom().nextBytes(key);
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(StoreKeys.PEER_KEY, KeyValueStore.ABSENT)
                        .put(StoreKeys.PEER_KEY, key)
                        .build();
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> onPeerKey(r, key),
                        f -> retryPeerKey("making the key of the peer link", f));
    }

    private void onPeerKey(CommitResult result, byte[] made) {
        if (result.applied()) {
            join(made);
        } else {
            fetchPeerKey();
        }
    }

    private void retryPeerKey(String call, Throwable failure) {
        runtime.log().log(Event.STORE_FAILED, "call", call, "cause", failure.getMessage());
        runtime.after(RETRY_MILLIS, this::fetchPeerKey);
    }

    private void join(byte[] key) {
        if (duties != null) {
            return;
        }
        peers = new PeerCalls(runtime, this, l -> links.apply(new PeerKey(key), l));
        InetSocketAddress address;
        try {
            address = peers.start(identity.peerAddress());
        } catch (PeerException e) {
            runtime.log().log(Event.UNEXPECTED, "failure", e);
            runtime.after(RETRY_MILLIS, () -> join(key));
            return;
        }
        advice = new AdviceDesk(runtime, identity.daemon(), peers);
        duties =
                new DutyKeeper(
                        runtime,
                        identity.daemon(),
                        identity.boot(),
                        identity.zone(),
                        address,
                        identity.settleTime(),
                        this);
        gateway =
                new SubmissionGateway(
                        runtime,
                        identity.daemon(),
                        duties::holder,
                        s -> Optional.ofNullable(owners.get(s)),
                        peers);
        duties.start();
        setWanted();
    }

    // What the operators write.

    private void onOperatorEntries(Map<String, StoreEntry> entries) {
        operatorEntries = entries;
        StoreEntry config = entries.get(runtime.format().configKey());
        if (config != null) {
            applyConfig(config);
        }
        fleet.onOperatorEntries(entries);
    }

    private void applyConfig(StoreEntry entry) {
        try {
            QueueTable table = runtime.format().queues(entry);
            if (queues.apply(table)) {
                runtime.log().log(
                        Event.CONFIG_APPLIED,
                        "version",
                        table.version(),
                        "revision",
                        entry.revision(),
                        "queues",
                        table.queues().size());
                setWanted();
            }
        } catch (FormatException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    private void setWanted() {
        if (duties == null) {
            return;
        }
        Set<Duty> wanted = new HashSet<>();
        for (PoolPolicy pool : queues.table().pools().values()) {
            if (!pool.standby()) {
                wanted.add(Duty.pool(pool.service()));
            }
        }
        if (!wanted.isEmpty()) {
            wanted.add(Duty.FLEET);
        }
        fleet.setStandbyPools(queues.table().standbyPools());
        duties.setWanted(wanted);
    }

    // Duties.

    @Override
    public void onGained(Tenure tenure) {
        if (tenure.duty().equals(Duty.FLEET)) {
            fleet.gain(tenure, duties);
            return;
        }
        ServiceId service = tenure.duty().service();
        PoolOwner owner =
                new PoolOwner(
                        runtime,
                        service,
                        tenure,
                        queues,
                        duties::isConfirmedWithin,
                        advice,
                        reason -> duties.lose(tenure.duty(), reason));
        owners.put(service, owner);
        registry.follow(true);
        new PoolLoader(runtime, owner, registry).start();
    }

    @Override
    public Optional<byte[]> noteForNext(Tenure tenure) {
        return tenure.duty().equals(Duty.FLEET) ? fleet.noteForNext() : Optional.empty();
    }

    @Override
    public void onLost(Tenure tenure) {
        if (tenure.duty().equals(Duty.FLEET)) {
            fleet.lose();
            return;
        }
        PoolOwner owner = owners.remove(tenure.duty().service());
        if (owner != null) {
            owner.stop();
        }
        registry.follow(!owners.isEmpty());
    }

    @Override
    public void onDaemons(Map<DaemonId, InetSocketAddress> daemons) {
        peers.setDaemons(daemons);
        advice.setDaemons(daemons.keySet());
    }

    // Between daemons.

    @Override
    public void onCall(SubmissionCall call, Consumer<SubmissionReply> reply) {
        PoolOwner owner = owners.get(call.service());
        if (owner == null) {
            reply.accept(SubmissionReply.of(SubmissionReply.Outcome.NOT_OWNER, "not held here"));
            return;
        }
        owner.handle(call, reply);
    }

    @Override
    public void onAdviceCall(
            StepId step, List<WorkerId> workers, Consumer<Optional<Advice>> answer) {
        advice.answer(step, workers, answer);
    }

    @Override
    public void onPoolStatus(DaemonId from, PoolStatusMessage status) {
        fleet.onPoolStatus(status);
    }

    @Override
    public void onEvacuation(EvacuationMessage evacuation) {
        PoolOwner owner = owners.get(new ServiceId(evacuation.getService()));
        if (owner != null) {
            Set<WorkerId> workers = new HashSet<>();
            evacuation.getWorkersList().forEach(w -> workers.add(new WorkerId(w)));
            owner.evacuate(workers);
        }
    }

    private void sendEvacuation(EvacuationMessage message) {
        if (duties == null) {
            return;
        }
        ServiceId service = new ServiceId(message.getService());
        if (owners.containsKey(service)) {
            onEvacuation(message);
            return;
        }
        duties.holder(Duty.pool(service)).ifPresent(d -> peers.send(d, message));
    }

    private void onWorkers() {
        owners.values().forEach(o -> o.onWorkers(registry.workers()));
    }

    private void tick() {
        owners.values().forEach(PoolOwner::tick);
        if (duties == null) {
            return;
        }
        peers.tick();
        fleet.tick();
        Optional<DaemonId> holder = duties.holder(Duty.FLEET);
        if (holder.isEmpty()) {
            return;
        }
        for (PoolOwner owner : owners.values()) {
            if (!owner.isLoaded()) {
                continue;
            }
            PoolStatusMessage status = owner.status();
            if (holder.get().equals(identity.daemon())) {
                fleet.onPoolStatus(status);
            } else {
                peers.send(holder.get(), status);
            }
        }
    }

    /**
     * Who this process is.
     *
     * @param daemon its name, the same over restarts
     * @param boot this run of it
     * @param zone its availability zone
     * @param peerAddress where other daemons reach it
     * @param settleTime how long it claims no duty after it has joined
     */
    public record Identity(
            DaemonId daemon,
            BootId boot,
            String zone,
            InetSocketAddress peerAddress,
            Duration settleTime) {}
}
