package org.crocusgrade.daemon.edge;

import java.time.Duration;
import java.util.Optional;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.daemon.upstream.Answer;

/** Writes one caller's final answer; called once, from any thread. */
interface Responder {
    /** Passes on a worker's whole answer. */
    void deliver(Answer answer);

    /** Answers without a worker's answer. */
    void refuse(Reason reason, Optional<Duration> retryAfter);
}
