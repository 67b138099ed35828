package org.crocusgrade.core.schedule;

/**
 * An amount of work, measured on both resources that can limit a pool.
 *
 * @param coreMillis processor time, in core-milliseconds
 * @param memoryMillis memory times time, in MB-milliseconds
 */
record Work(double coreMillis, double memoryMillis) {
    static final Work NONE = new Work(0, 0);

    Work plus(Work other) {
        return new Work(coreMillis + other.coreMillis, memoryMillis + other.memoryMillis);
    }

    Work times(double factor) {
        return new Work(coreMillis * factor, memoryMillis * factor);
    }

    boolean isNone() {
        return coreMillis <= 0 && memoryMillis <= 0;
    }
}
