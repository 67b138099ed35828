package org.crocusgrade.core.fleet.plan;

import java.util.Arrays;

/**
 * The pools of one worker over the horizon: for each step the index of the pool that it serves, or
 * the bitwise complement of the index of the pool that it is moving to.
 *
 * @param places one entry for each step
 */
record Route(int[] places) {
    /**
     * Returns the route of a worker that stays in its pool, or in the pool that it is moving to.
     */
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

    /** Returns whether a move to another pool starts at the step. */
    boolean startsMoveAt(int t, int poolBefore) {
        return pool(t) != (t == 0 ? poolBefore : pool(t - 1));
    }

    /**
     * Returns the number of moves of a worker that initially serves the pool or is moving to it.
     */
    int moves(int poolBefore) {
        int moves = 0;
        for (int t = 0; t < places.length; t++) {
            moves += startsMoveAt(t, poolBefore) ? 1 : 0;
        }
        return moves;
    }

    /** Returns the route that makes only the first moves of this one and then stays. */
    Route keepFirstMoves(int kept, int poolBefore) {
        int[] cut = places.clone();
        int moves = 0;
        for (int t = 0; t < cut.length; t++) {
            moves += startsMoveAt(t, poolBefore) ? 1 : 0;
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
