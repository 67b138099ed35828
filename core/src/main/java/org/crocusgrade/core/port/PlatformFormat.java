package org.crocusgrade.core.port;

import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.maintenance.WaveRequest;
import org.crocusgrade.core.submission.SubmissionSpec;

/** Where the platform and its operators write what, and how it reads. */
public interface PlatformFormat {
    /** Returns the prefix under which workers register. */
    String workerPrefix();

    /** Reads a worker's registration. */
    WorkerEntry worker(StoreEntry entry) throws FormatException;

    /** Returns the prefix under which operators write. */
    String operatorPrefix();

    /** Returns the key of the newest configuration. */
    String configKey();

    /** Reads a configuration. */
    QueueTable queues(StoreEntry entry) throws FormatException;

    /** Returns whether a key is that of a maintenance wave. */
    boolean isWave(String key);

    /** Reads a maintenance wave. */
    WaveRequest wave(StoreEntry entry) throws FormatException;

    /** Returns the key under which operators look for the state of a wave. */
    String waveStatusKey(int wave);

    /** Writes the state of a wave. */
    byte[] waveStatus(boolean completed);

    /** Reads what a caller hands in. */
    SubmissionSpec submission(byte[] body) throws FormatException;
}
