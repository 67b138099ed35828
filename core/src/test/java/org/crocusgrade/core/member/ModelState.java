package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackRecord;

/**
 * One state of the modelled system: the records in the platform's service, three daemons, and the
 * slot leases in force.
 */
final class ModelState {
    static final int DAEMONS = 3;
    static final int HOSTS = 2;

    /**
     * State of one daemon.
     *
     * @param attempt its attempt to take over from the rack's owner, or null
     * @param view the rack record that it last read or wrote, or null
     * @param viewRevision the revision of that record
     * @param grantStart the time from which it may grant the rack's slots
     * @param unresolved whether a write of the rack record got no answer and was not read back
     * @param draining bit set of the hosts of which it grants no more slots
     * @param lastGrant for each host, when it could last grant a slot
     * @param pausedSince when its pause began, or -1
     * @param grantableAtPause bit set of the hosts whose slots it could grant when its pause began
     */
    record Node(
            DaemonRun run,
            Authority authority,
            Witness witness,
            TakeOver attempt,
            RackRecord view,
            int viewRevision,
            long grantStart,
            boolean unresolved,
            int draining,
            List<Long> lastGrant,
            long pausedSince,
            int grantableAtPause) {
        @Override
        public int hashCode() {
            int h = authority.hashCode() * 31 + witness.hashCode();
            h = h * 31 + Objects.hashCode(attempt);
            h = h * 31 + viewRevision;
            h = h * 31 + (int) (grantStart / ModelRules.TICK);
            h = h * 31 + (unresolved ? 1 : 0);
            h = h * 31 + draining;
            h = h * 31 + lastGrant.hashCode();
            return h * 31 + (int) (pausedSince / ModelRules.TICK);
        }

        boolean isPaused() {
            return pausedSince >= 0;
        }

        Node authority(Authority next) {
            return new Node(
                    run,
                    next,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    grantStart,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node witness(Witness next) {
            return new Node(
                    run,
                    authority,
                    next,
                    attempt,
                    view,
                    viewRevision,
                    grantStart,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node attempt(TakeOver next) {
            return new Node(
                    run,
                    authority,
                    witness,
                    next,
                    view,
                    viewRevision,
                    grantStart,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node view(RackRecord next, int revision) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    next,
                    revision,
                    grantStart,
                    false,
                    draining,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node grantStart(long next) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    next,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node unresolved(RackRecord sent) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    sent,
                    viewRevision,
                    grantStart,
                    true,
                    draining,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node draining(int next) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    grantStart,
                    unresolved,
                    next,
                    lastGrant,
                    pausedSince,
                    grantableAtPause);
        }

        Node lastGrant(int host, long now) {
            List<Long> next = new ArrayList<>(lastGrant);
            next.set(host, now);
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    grantStart,
                    unresolved,
                    draining,
                    next,
                    pausedSince,
                    grantableAtPause);
        }

        Node paused(long since, int grantable) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    grantStart,
                    unresolved,
                    draining,
                    lastGrant,
                    since,
                    grantable);
        }
    }

    /** Slots of a host that a daemon may have leased out for a pool until a time. */
    record SlotLease(int host, int daemon, String pool, long end) {}

    long now;
    final Node[] nodes;
    final AuthorityRecord[] records;
    final int[] recordRevisions;
    final long[] leaseEnds;
    RackRecord rack;
    int rackRevision;
    int partitioned;
    List<SlotLease> slotLeases;
    int faults;
    private final ModelState parent;
    private final String step;
    private int[] numbers;

    ModelState() {
        nodes = new Node[DAEMONS];
        records = new AuthorityRecord[DAEMONS];
        recordRevisions = new int[DAEMONS];
        leaseEnds = new long[DAEMONS];
        slotLeases = List.of();
        parent = null;
        step = "";
    }

    ModelState(ModelState from, String step) {
        now = from.now;
        nodes = from.nodes.clone();
        records = from.records.clone();
        recordRevisions = from.recordRevisions.clone();
        leaseEnds = from.leaseEnds.clone();
        rack = from.rack;
        rackRevision = from.rackRevision;
        partitioned = from.partitioned;
        slotLeases = from.slotLeases;
        faults = from.faults;
        parent = from;
        this.step = step;
    }

    boolean reaches(int daemon) {
        return (partitioned & 1 << daemon) == 0;
    }

    boolean isLive(int daemon) {
        return leaseEnds[daemon] > now;
    }

    /**
     * Advances time by one tick. Discards expired promises and lease ends, so that states that
     * differ only in these compare equal.
     */
    void tick() {
        now += ModelRules.TICK;
        for (int i = 0; i < DAEMONS; i++) {
            Node node = nodes[i];
            nodes[i] =
                    node.authority(node.authority().expire(now))
                            .witness(node.witness().expire(now));
        }
    }

    int daemonOf(DaemonRun run) {
        return run.daemon().value().charAt(1) - '0';
    }

    /** Returns the number of the daemon that the rack record names as its owner, or -1. */
    int owner() {
        Optional<org.crocusgrade.core.id.DaemonId> owner = rack.owner();
        return owner.isEmpty() ? -1 : owner.get().value().charAt(1) - '0';
    }

    /** Returns the names of the steps from the start to this state, each after a space. */
    String path() {
        return parent == null ? "" : parent.path() + " " + step;
    }

    /**
     * Returns a key that is equal for equal states. The parts of the state are replaced by numbers,
     * equal ones by the same number; parts shared with the parent state reuse its numbers.
     */
    Key key(Interner interner) {
        Object[] own = parts();
        Object[] before = parent == null ? new Object[own.length] : parent.parts();
        numbers = new int[own.length + 3];
        for (int i = 0; i < own.length; i++) {
            boolean same = own[i] == before[i];
            numbers[i] = same ? parent.numbers[i] : interner.number(own[i]);
        }
        int revisions = rackRevision;
        int leases = 0;
        for (int i = 0; i < DAEMONS; i++) {
            revisions = revisions << 8 | recordRevisions[i];
            leases = leases << 1 | (isLive(i) ? 1 : 0);
        }
        numbers[own.length] = revisions;
        numbers[own.length + 1] = leases;
        numbers[own.length + 2] = (int) (now / ModelRules.TICK) << 8 | partitioned << 4 | faults;
        return new Key(numbers);
    }

    private Object[] parts() {
        return new Object[] {
            nodes[0], nodes[1], nodes[2], records[0], records[1], records[2], rack, slotLeases
        };
    }

    /** Compact identity of a state. */
    static final class Key {
        private final int[] parts;

        Key(int[] parts) {
            this.parts = parts;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Key that && Arrays.equals(parts, that.parts);
        }

        @Override
        public int hashCode() {
            return Arrays.hashCode(parts) * 0x9E3779B9;
        }
    }
}
