package org.crocusgrade.daemon.batch;

import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.submission.SubmissionId;

/** The keys of this system in the platform's store. */
final class StoreKeys {
    /** All that daemons must follow to know each other and who holds what. */
    static final String COORDINATION = "crocus/";

    static final String DAEMONS = COORDINATION + "daemon/";
    static final String HOLDERS = COORDINATION + "holder/";
    static final String TERMS = COORDINATION + "term/";
    static final String WAVES = COORDINATION + "wave/";

    /** What the last holder of the fleet's duty has left. */
    static final String FLEET_NOTE = COORDINATION + "fleet";

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
