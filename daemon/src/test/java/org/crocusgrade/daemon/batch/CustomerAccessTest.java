package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Optional;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.daemon.batch.SubmissionCall.Operation;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.junit.jupiter.api.Test;

/**
 * Guards against access to submissions of other customers: at the owner, while a submission is
 * stored, from the store, and after the loss of all daemons.
 */
class CustomerAccessTest {
    private static final DaemonId D0 = new DaemonId("d0");

    private final SimFleet fleet = new SimFleet(1, false, 2);

    @Test
    void submissionIsClosedToOtherCustomersAlsoAfterTheLossOfAllDaemons() {
        SubmissionId id = fleet.nextId();
        assertThat(call(Operation.SUBMIT, id, "a"), is(Outcome.DONE));
        checkClosedToOthers(id);
        assertThat("own repetition", call(Operation.SUBMIT, id, "a"), is(Outcome.DONE));
        fleet.daemons.keySet().forEach(fleet::kill);
        fleet.boot(D0);
        fleet.time.run(200);
        assertThat("from the store", call(Operation.STATE, id, "b"), is(Outcome.FORBIDDEN));
        fleet.time.run(20_000);
        checkClosedToOthers(id);
        assertThat(call(Operation.CANCEL, id, "a"), is(Outcome.DONE));
    }

    @Test
    void repetitionWhileASubmissionIsStoredIsClosedToOthers() {
        SubmissionId id = fleet.nextId();
        Outcome[] outcomes = new Outcome[2];
        SimFleet.Daemon daemon = fleet.daemons.get(D0);
        daemon.call(Operation.SUBMIT, id, body(), customer("a"), r -> outcomes[0] = r.outcome());
        daemon.call(Operation.SUBMIT, id, body(), customer("b"), r -> outcomes[1] = r.outcome());
        fleet.time.run(1000);
        assertThat(outcomes[0], is(Outcome.DONE));
        assertThat(outcomes[1], is(Outcome.FORBIDDEN));
    }

    @Test
    void storedSubmissionThatTheOwnerDoesNotHoldIsClosedToOthers() {
        fleet.store.write("op/config", "2 a=k1 b=k2".getBytes(StandardCharsets.UTF_8));
        fleet.time.run(50);
        SubmissionId id = fleet.nextId();
        byte[] record =
                RecordCodec.submission(
                        QueueRegistry.unknownQueue(SimFleet.QUEUE, SimFleet.SERVICE),
                        customer("a"),
                        Instant.EPOCH,
                        body());
        fleet.store.write(StoreKeys.submission(id), record);
        checkClosedToOthers(id);
        assertThat(call(Operation.SUBMIT, id, "a"), is(Outcome.DONE));
        assertThat(call(Operation.STATE, id, "a"), is(Outcome.DONE));
    }

    @Test
    void submissionWithoutACustomerStaysOpen() {
        SubmissionId id = fleet.nextId();
        assertThat(call(Operation.SUBMIT, id, ""), is(Outcome.DONE));
        assertThat(call(Operation.STATE, id, "b"), is(Outcome.DONE));
        assertThat(call(Operation.CANCEL, id, "b"), is(Outcome.DONE));
    }

    private void checkClosedToOthers(SubmissionId id) {
        for (String other : new String[] {"b", ""}) {
            assertThat(call(Operation.STATE, id, other), is(Outcome.FORBIDDEN));
            assertThat(call(Operation.CANCEL, id, other), is(Outcome.FORBIDDEN));
            assertThat(call(Operation.SUBMIT, id, other), is(Outcome.FORBIDDEN));
        }
    }

    private Outcome call(Operation operation, SubmissionId id, String customer) {
        Outcome[] outcome = new Outcome[1];
        byte[] body = operation == Operation.SUBMIT ? body() : new byte[0];
        fleet.daemons
                .get(D0)
                .call(operation, id, body, customer(customer), r -> outcome[0] = r.outcome());
        // Longer than the gateway waits for the answer of an owner that was lost.
        fleet.time.run(2500);
        return outcome[0];
    }

    private static byte[] body() {
        return new byte[] {1};
    }

    private static Optional<CustomerId> customer(String name) {
        return Optional.of(name).filter(n -> !n.isEmpty()).map(CustomerId::new);
    }
}
