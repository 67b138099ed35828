package org.crocusgrade.daemon.upstream;

import java.util.Optional;
import org.crocusgrade.core.dispatch.RunEnd;

/**
 * How an attempt on a worker ended.
 *
 * @param end what is known of it
 * @param answer the whole answer, if there is one that belongs to the attempt
 */
public record RunResult(RunEnd end, Optional<Answer> answer) {
    /** Checks that an answer is there when the end says so. */
    public RunResult {
        if (end.hasAnswer() != answer.isPresent()) {
            throw new IllegalArgumentException("the end and the answer do not agree");
        }
    }

    static RunResult without(RunEnd end) {
        return new RunResult(end, Optional.empty());
    }
}
