package org.crocusgrade.daemon.edge;

import java.util.Optional;
import java.util.function.Consumer;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.daemon.edge.KeyedRequests.KeyedRequest;
import org.crocusgrade.daemon.upstream.Answer;

/** Fetches answers of runs from the daemons that hold their claims. */
public interface RemoteRuns {
    /**
     * Requests the answer of the run that holds a claim.
     *
     * @param answer called once; with an empty value if the holder is not reachable or has no
     *     answer
     */
    void attach(Claim claim, KeyedRequest keyed, Consumer<Optional<Answer>> answer);
}
