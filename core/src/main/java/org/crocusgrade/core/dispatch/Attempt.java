package org.crocusgrade.core.dispatch;

import java.util.Objects;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;

/**
 * One attempt to run a request on one worker.
 *
 * @param request the request
 * @param number 1 for the first attempt
 * @param worker the worker that it is sent to
 */
public record Attempt(Request request, int number, WorkerId worker) {
    /** Checks the fields. */
    public Attempt {
        Objects.requireNonNull(request);
        Objects.requireNonNull(worker);
        if (number < 1) {
            throw new IllegalArgumentException("attempt number must be at least 1");
        }
    }

    /** Returns the id that is sent to the worker, different for each attempt. */
    public RequestId id() {
        return number == 1 ? request.id() : new RequestId(request.id().value() + "." + number);
    }
}
