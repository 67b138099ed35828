package org.crocusgrade.daemon.batch;

import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.submission.SubmissionId;

/** The keys of this system in the platform's store. */
final class StoreKeys {
    /**
     * Prefix of the entries that every daemon watches: the daemons, the holders and terms of
     * duties, and the progress of waves.
     */
    static final String COORDINATION = "crocus/";

    static final String DAEMONS = COORDINATION + "daemon/";
    static final String HOLDERS = COORDINATION + "holder/";
    static final String TERMS = COORDINATION + "term/";
    static final String WAVES = COORDINATION + "wave/";

    /**
     * State that the holder of the fleet duty stores for the next one. It is written often, and no
     * daemon watches it.
     */
    static final String FLEET_DUTY_STATE = "fleet-duty";

    static final String PEER_KEY = "peer-key";
    static final String SUBMISSIONS = "sub/";
    static final String PROGRESS = "prog/";

    private StoreKeys() {}

    static String daemon(DaemonId daemon) {
        return DAEMONS + daemon;
    }

    static String holder(Duty duty) {
        return HOLDERS + duty;
    }

    static String term(Duty duty) {
        return TERMS + duty;
    }

    static String wave(int wave) {
        return WAVES + wave;
    }

    static String submission(SubmissionId id) {
        return SUBMISSIONS + id;
    }

    static String progress(SubmissionId id) {
        return PROGRESS + id;
    }
}
