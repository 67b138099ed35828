package org.crocusgrade.core.fleet.plan;

import java.util.Arrays;

/**
 * Where one worker is in each step of the horizon: the index of the pool that it serves, or the
 * complement of the index of the pool that it is on its way to.
 *
 * @param places one entry for each step
 */
record Route(int[] places) {
    /** Returns the route of a worker that stays where it is, or where it is on its way to. */
    static Route stay(int pool, int arrival, int steps) {
        int[] places = new int[steps];
        for (int t = 0; t < steps; t++) {
            places[t] = t < arrival ? ~pool : pool;
        }
        return new Route(places);
    }

    boolean serves(int t) {
        return places[t] >= 0;
    }

    int pool(int t) {
        return places[t] >= 0 ? places[t] : ~places[t];
    }

    /** Returns whether it starts to another pool at the step. */
    boolean startsAt(int t, int poolBefore) {
        return pool(t) != (t == 0 ? poolBefore : pool(t - 1));
    }

    /** Returns the number of moves, for a worker that is in or on its way to the pool. */
    int moves(int poolBefore) {
        int moves = 0;
        for (int t = 0; t < places.length; t++) {
            moves += startsAt(t, poolBefore) ? 1 : 0;
        }
        return moves;
    }

    /** Returns the route with only its first moves, for a worker of the pool. */
    Route cutToMoves(int kept, int poolBefore) {
        int[] cut = places.clone();
        int moves = 0;
        for (int t = 0; t < cut.length; t++) {
            moves += startsAt(t, poolBefore) ? 1 : 0;
            if (moves > kept) {
                cut[t] = cut[t - 1] >= 0 ? cut[t - 1] : ~cut[t - 1];
            }
        }
        return new Route(cut);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Route r && Arrays.equals(places, r.places);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(places);
    }
}
