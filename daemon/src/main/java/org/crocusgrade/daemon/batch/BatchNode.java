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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.crocusgrade.core.config.PoolPolicy;
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.customer.KeyChecks;
import org.crocusgrade.core.customer.KeyView;
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
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * Runs this daemon's part of the batch system: connects duties, pool owners, peers and
 * configuration.
 */
public final class BatchNode implements DutyManager.Listener, PeerRpc.Handler {
    private static final long TICK_MILLIS = 100;
    private static final long EXPIRY_CHECK_MILLIS = 5_000;
    private static final long RETRY_MILLIS = 200;

    private final BatchRuntime runtime;
    private final Identity identity;
    private final BiFunction<PeerKey, PeerListener, PeerLink> links;
    private final QueueRegistry queues = new QueueRegistry();
    private final WorkerRegistry registry;
    private final PrefixWatcher operators;
    private final Map<ServiceId, PoolOwner> owners = new HashMap<>();
    private final FleetController fleet;
    private final LoopMonitor loopMonitor;
    private final KeyTracker keys;
    private DutyManager duties;
    private PeerRpc peers;
    private AdviceDispatcher advice;
    private SubmissionGateway gateway;
    private Map<String, StoreEntry> operatorEntries = Map.of();

    /**
     * Creates a node that uses the peer link between daemons; {@link #start} makes it join the
     * others.
     */
    public BatchNode(BatchRuntime runtime, Identity identity) {
        this(
                runtime,
                identity,
                (key, listener) -> new PeerNode(identity.daemon, identity.boot, key, listener, 1));
    }

    /** Creates a node with another implementation of the peer link. */
    BatchNode(
            BatchRuntime runtime,
            Identity identity,
            BiFunction<PeerKey, PeerListener, PeerLink> links) {
        this.links = links;
        this.runtime = runtime;
        this.identity = identity;
        registry = new WorkerRegistry(runtime, this::onWorkers);
        keys = new KeyTracker(runtime, queues);
        operators = runtime.operatorWatcher(this::onOperatorEntries, keys::onConfirmed);
        loopMonitor =
                new LoopMonitor(runtime.clock(), runtime.log(), Duration.ofMillis(TICK_MILLIS));
        fleet =
                new FleetController(
                        runtime, identity.daemon(), this::sendEvacuation, this::sendCapGrant);
    }

    /** Starts to watch the operators' entries and joins the other daemons. */
    public void start() {
        operators.start();
        fetchPeerKey();
        runtime.every(TICK_MILLIS, this::tick);
        runtime.every(EXPIRY_CHECK_MILLIS, () -> owners.values().forEach(PoolOwner::deleteExpired));
    }

    /** Returns the configuration in force. */
    public QueueTable queues() {
        return queues.table();
    }

    /** Returns what this daemon knows of the customers' keys. */
    public KeyView keys() {
        return keys.view();
    }

    /** Returns the rules by which keys are checked against {@link #keys}. */
    public KeyChecks keyChecks() {
        return keys.checks();
    }

    /**
     * Returns the gateway to the owners of pools; empty until this daemon has joined the others.
     */
    public Optional<SubmissionGateway> gateway() {
        return Optional.ofNullable(gateway);
    }

    /** Returns the daemon that holds a duty, according to this daemon's copy of the store. */
    Optional<DaemonId> holder(Duty duty) {
        return duties == null ? Optional.empty() : duties.holder(duty);
    }

    /**
     * Returns the status of each worker that this daemon reports as the owner of a pool; empty if
     * it does not own the pool or has not loaded it yet.
     */
    List<WorkerStatusMessage> poolStatus(ServiceId service) {
        PoolOwner owner = owners.get(service);
        return owner == null || !owner.isLoaded() ? List.of() : owner.status().getWorkersList();
    }

    /** Returns whether this daemon owns a pool and may extend the leases of the pool's runs now. */
    boolean mayExtendLeases(ServiceId service) {
        PoolOwner owner = owners.get(service);
        return owner != null && owner.mayExtendLeases();
    }

    /** Releases all duties, so that other daemons can claim them immediately. */
    public void leave() {
        if (duties != null) {
            duties.release();
        }
    }

    /**
     * Closes the connections to other daemons; must be called on the loop.
     *
     * @return completes when the connections are closed
     */
    public CompletionStage<Void> stop() {
        return peers == null ? CompletableFuture.completedStage(null) : peers.stop();
    }

    // Joining the other daemons.

    private void fetchPeerKey() {
        runtime.store()
                .get(StoreKeys.PEER_KEY)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> e.ifPresentOrElse(k -> join(k.value()), this::makePeerKey),
                        f -> retryPeerKey("read peer link key", f));
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
                .with(r -> onPeerKey(r, key), f -> retryPeerKey("create peer link key", f));
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
        peers = new PeerRpc(runtime, identity.boot(), this, l -> links.apply(new PeerKey(key), l));
        InetSocketAddress address;
        try {
            address = peers.start(identity.peerAddress());
        } catch (PeerException e) {
            runtime.log().log(Event.UNEXPECTED, "failure", e);
            runtime.after(RETRY_MILLIS, () -> join(key));
            return;
        }
        advice = new AdviceDispatcher(runtime, identity.daemon(), peers);
        duties = new DutyManager(runtime, identity, address, this);
        gateway =
                new SubmissionGateway(
                        runtime,
                        identity.daemon(),
                        duties::holder,
                        s -> Optional.ofNullable(owners.get(s)),
                        peers);
        duties.start();
        updateWantedDuties();
    }

    // Operator configuration.

    private void onOperatorEntries(Map<String, StoreEntry> entries) {
        operatorEntries = entries;
        StoreEntry config = entries.get(runtime.format().configKey());
        if (config != null) {
            applyConfig(config);
        } else {
            // Without a configuration in the store, the keys in force are listed by none.
            keys.onRejected(k -> false);
        }
        fleet.onOperatorEntries(entries);
    }

    private void applyConfig(StoreEntry entry) {
        QueueTable table;
        try {
            table = runtime.format().queues(entry);
        } catch (FormatException | RuntimeException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
            String document = entry.text();
            keys.onRejected(k -> k.isTextOf(document));
            return;
        }
        boolean applied = queues.apply(table);
        if (applied || table.version() < queues.table().version()) {
            // An older version revokes nothing: the version in force has already replaced it.
            keys.onAccepted(queues.table().customers());
        } else {
            // The version in force, or another configuration that was given the same number.
            keys.onRejected(k -> table.customers().byKey(k).isPresent());
        }
        if (applied) {
            runtime.log().log(
                    Event.CONFIG_APPLIED,
                    "version",
                    table.version(),
                    "revision",
                    entry.revision(),
                    "queues",
                    table.queues().size());
            updateWantedDuties();
        }
    }

    private void updateWantedDuties() {
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
        fleet.setCaps(queues.table());
        duties.setWanted(wanted);
    }

    // Duties.

    @Override
    public void onAcquired(DutyOwnership ownership) {
        if (ownership.duty().equals(Duty.FLEET)) {
            fleet.start(ownership, duties);
            return;
        }
        ServiceId service = ownership.duty().service();
        PoolOwner owner =
                new PoolOwner(
                        runtime,
                        service,
                        ownership,
                        queues,
                        duties,
                        advice,
                        reason -> duties.relinquish(ownership.duty(), reason));
        owners.put(service, owner);
        registry.setWatching(true);
        new PoolLoader(runtime, owner, registry, queues).start();
    }

    @Override
    public Optional<byte[]> stateForSuccessor(DutyOwnership ownership) {
        return ownership.duty().equals(Duty.FLEET) ? fleet.stateForSuccessor() : Optional.empty();
    }

    @Override
    public void onLost(DutyOwnership ownership) {
        if (ownership.duty().equals(Duty.FLEET)) {
            fleet.stop();
            return;
        }
        PoolOwner owner = owners.remove(ownership.duty().service());
        if (owner != null) {
            owner.stop();
        }
        registry.setWatching(!owners.isEmpty());
    }

    @Override
    public void onDaemons(Map<DaemonId, InetSocketAddress> daemons) {
        peers.setDaemons(daemons);
        advice.setDaemons(daemons.keySet());
    }

    // Messages from other daemons.

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
        advice.requestFromService(step, workers, answer);
    }

    @Override
    public void onPoolStatus(DaemonId from, PoolStatusMessage status) {
        fleet.onPoolStatus(status);
    }

    @Override
    public void onEvacuation(EvacuationMessage evacuation) {
        PoolOwner owner = owners.get(new ServiceId(evacuation.getService()));
        if (owner != null) {
            owner.evacuate(evacuation);
        }
    }

    private void sendEvacuation(EvacuationMessage message) {
        toOwner(
                new ServiceId(message.getService()),
                () -> onEvacuation(message),
                d -> peers.send(d, message));
    }

    @Override
    public void onCapGrant(CapGrantMessage grant) {
        PoolOwner owner = owners.get(new ServiceId(grant.getService()));
        if (owner != null && duties.knowsHoldersSince(owner.ownership())) {
            owner.onCapGrant(grant, duties.token(Duty.FLEET));
        }
    }

    private void sendCapGrant(CapGrantMessage grant) {
        toOwner(
                new ServiceId(grant.getService()),
                () -> onCapGrant(grant),
                d -> peers.send(d, grant));
    }

    /** Delivers a message to the owner of a pool: here, or at the daemon that holds the duty. */
    private void toOwner(ServiceId service, Runnable here, Consumer<DaemonId> there) {
        if (duties == null) {
            return;
        }
        if (owners.containsKey(service)) {
            here.run();
            return;
        }
        duties.holder(Duty.pool(service)).ifPresent(there);
    }

    private void onWorkers() {
        for (PoolOwner owner : List.copyOf(owners.values())) {
            runtime.guard(() -> owner.onWorkers(registry.workers()));
        }
    }

    private void tick() {
        loopMonitor.tick();
        keys.tick();
        for (PoolOwner owner : List.copyOf(owners.values())) {
            runtime.guard(owner::tick);
        }
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
     * Identity of this process.
     *
     * @param daemon the name of the daemon, the same across restarts
     * @param boot identifies this incarnation of the daemon
     * @param zone its availability zone
     * @param peerAddress the address at which other daemons reach it
     * @param milliCores the processor time that it may use, in thousandths of a core
     * @param settleTime how long it claims no duty after it has registered, so that daemons that
     *     start together see each other first
     */
    public record Identity(
            DaemonId daemon,
            BootId boot,
            String zone,
            InetSocketAddress peerAddress,
            int milliCores,
            Duration settleTime) {}
}
