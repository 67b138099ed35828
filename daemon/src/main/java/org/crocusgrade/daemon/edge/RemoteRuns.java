package org.crocusgrade.daemon.edge;

import java.util.Optional;
import java.util.function.Consumer;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.daemon.edge.KeyedRequests.Keyed;
import org.crocusgrade.daemon.upstream.Answer;

/** Asks the daemon that holds a claim for the answer of its run. */
public interface RemoteRuns {
    /** Gives the answer once, or nothing if the holder has none to give. */
    void attach(Claim claim, Keyed keyed, Consumer<Optional<Answer>> answer);
}
