package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackRecord;

/** One state of the explored system: the platform's service, three daemons, the leases out. */
final class ModelState {
    static final int DAEMONS = 3;
    static final int HOSTS = 2;

    /**
     * One daemon.
     *
     * @param view the rack's record as the daemon knows it
     * @param viewRevision that record's revision
     * @param quietEnd from when it may grant the rack's slots
     * @param unresolved whether a write of the rack got no answer and was not read back
     * @param draining the hosts that it grants no more slots of, by bit
     * @param lastGrant when it last could grant a slot of each host
     * @param pausedSince since when it is paused, or -1
     * @param pausedAble the hosts whose slots it could grant when it paused, by bit
     */
    record Node(
            DaemonRun run,
            Authority authority,
            Witness witness,
            TakeOver attempt,
            RackRecord view,
            int viewRevision,
            long quietEnd,
            boolean unresolved,
            int draining,
            List<Long> lastGrant,
            long pausedSince,
            int pausedAble) {
        @Override
        public int hashCode() {
            int h = authority.hashCode() * 31 + witness.hashCode();
            h = h * 31 + Objects.hashCode(attempt);
            h = h * 31 + viewRevision;
            h = h * 31 + (int) (quietEnd / ModelRules.TICK);
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
                    quietEnd,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    pausedAble);
        }

        Node witness(Witness next) {
            return new Node(
                    run,
                    authority,
                    next,
                    attempt,
                    view,
                    viewRevision,
                    quietEnd,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    pausedAble);
        }

        Node attempt(TakeOver next) {
            return new Node(
                    run,
                    authority,
                    witness,
                    next,
                    view,
                    viewRevision,
                    quietEnd,
                    unresolved,
                    draining,
                    lastGrant,
                    pausedSince,
                    pausedAble);
        }

        Node view(RackRecord next, int revision) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    next,
                    revision,
                    quietEnd,
                    false,
                    draining,
                    lastGrant,
                    pausedSince,
                    pausedAble);
        }

        Node quietEnd(long next) {
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
                    pausedAble);
        }

        Node unresolved(RackRecord sent) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    sent,
                    viewRevision,
                    quietEnd,
                    true,
                    draining,
                    lastGrant,
                    pausedSince,
                    pausedAble);
        }

        Node draining(int next) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    quietEnd,
                    unresolved,
                    next,
                    lastGrant,
                    pausedSince,
                    pausedAble);
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
                    quietEnd,
                    unresolved,
                    draining,
                    next,
                    pausedSince,
                    pausedAble);
        }

        Node paused(long since, int able) {
            return new Node(
                    run,
                    authority,
                    witness,
                    attempt,
                    view,
                    viewRevision,
                    quietEnd,
                    unresolved,
                    draining,
                    lastGrant,
                    since,
                    able);
        }
    }

    /** Slots of a host that a daemon may have leased for a pool, up to a time. */
    record Out(int host, int daemon, String pool, long end) {}

    long now;
    final Node[] nodes;
    final AuthorityRecord[] records;
    final int[] recordRevisions;
    final long[] leaseEnds;
    RackRecord rack;
    int rackRevision;
    int cut;
    List<Out> out;
    int faults;
    private final ModelState parent;
    private final String step;
    private int[] numbers;

    ModelState() {
        nodes = new Node[DAEMONS];
        records = new AuthorityRecord[DAEMONS];
        recordRevisions = new int[DAEMONS];
        leaseEnds = new long[DAEMONS];
        out = List.of();
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
        cut = from.cut;
        out = from.out;
        faults = from.faults;
        parent = from;
        this.step = step;
    }

    boolean reaches(int daemon) {
        return (cut & 1 << daemon) == 0;
    }

    boolean isLive(int daemon) {
        return leaseEnds[daemon] > now;
    }

    /** Lets time pass: what has run out is forgotten, so that equal states are seen as such. */
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

    /** Returns the daemon that the rack names as its owner, or -1. */
    int owner() {
        Optional<org.crocusgrade.core.id.DaemonId> owner = rack.owner();
        return owner.isEmpty() ? -1 : owner.get().value().charAt(1) - '0';
    }

    /** Returns the steps that led here. */
    String path() {
        return parent == null ? "" : parent.path() + " " + step;
    }

    /** Returns what makes two states the same, with equal parts replaced by equal numbers. */
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
        numbers[own.length + 2] = (int) (now / ModelRules.TICK) << 8 | cut << 4 | faults;
        return new Key(numbers);
    }

    private Object[] parts() {
        return new Object[] {
            nodes[0], nodes[1], nodes[2], records[0], records[1], records[2], rack, out
        };
    }

    /** A state's identity. */
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
