package org.crocusgrade.daemon.upstream;

import java.util.Optional;
import org.crocusgrade.core.dispatch.RunEnd;

/**
 * How an attempt on a worker ended.
 *
 * @param end how the attempt ended, and whether it can have run
 * @param answer the complete answer, present if and only if the end has one
 */
public record RunResult(RunEnd end, Optional<Answer> answer) {
    /** Checks that the answer is present exactly if the end has one. */
    public RunResult {
        if (end.hasAnswer() != answer.isPresent()) {
            throw new IllegalArgumentException(
                    "an answer must be given for ends that have one and for no others");
        }
    }

    static RunResult withoutAnswer(RunEnd end) {
        return new RunResult(end, Optional.empty());
    }
}
