package org.crocusgrade.core.port;

import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.maintenance.WaveRequest;
import org.crocusgrade.core.submission.SubmissionSpec;

/** The keys and encodings of the platform's and its operators' entries in the key-value store. */
public interface PlatformFormat {
    /** Returns the key prefix under which workers register. */
    String workerPrefix();

    /** Decodes a worker's registration. */
    WorkerEntry worker(StoreEntry entry) throws FormatException;

    /** Returns the key prefix of the entries that operators write. */
    String operatorPrefix();

    /** Returns the key of the newest configuration. */
    String configKey();

    /** Decodes a configuration. */
    QueueTable queues(StoreEntry entry) throws FormatException;

    /** Returns whether a key is that of a maintenance wave. */
    boolean isWave(String key);

    /** Decodes a maintenance wave. */
    WaveRequest wave(StoreEntry entry) throws FormatException;

    /** Returns the key of the wave state that operators read. */
    String waveStatusKey(int wave);

    /** Encodes the state of a wave. */
    byte[] waveStatus(boolean completed);

    /** Decodes a caller's submission. */
    SubmissionSpec submission(byte[] body) throws FormatException;
}
