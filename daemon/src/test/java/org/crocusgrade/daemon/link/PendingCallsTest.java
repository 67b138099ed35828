package org.crocusgrade.daemon.link;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;
import org.junit.jupiter.api.Test;

class PendingCallsTest {
    private static final DaemonId CALLED = new DaemonId("called");
    private static final DaemonId OTHER = new DaemonId("other");
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EventLog log = new EventLog(new FixedClock());
    private final CallIds ids = new CallIds(new BootId("boot2"));
    private final List<Runnable> timers = new ArrayList<>();
    private final List<String> answers = new ArrayList<>();
    private final PendingCalls<String> calls =
            new PendingCalls<>("test", ids, (delay, step) -> timers.add(step), log);

    /** Guards against the reply of a daemon that has taken over the address of the called one. */
    @Test
    void replyOfADaemonThatWasNotCalledIsIgnored() {
        long id = call(Set.of(CALLED));
        calls.complete(OTHER, id, "foreign");
        assertThat(answers, empty());
        assertThat(log.count(Event.REPLY_IGNORED), is(1L));
        calls.complete(CALLED, id, "own");
        assertThat(answers, contains("own"));
    }

    /** Guards against a reply to a call that an earlier process of this daemon's name has made. */
    @Test
    void replyToACallOfAnotherProcessIsIgnored() {
        call(Set.of(CALLED));
        calls.complete(CALLED, new CallIds(new BootId("boot1")).next(), "former process");
        calls.complete(CALLED, 1, "former process of an older version");
        assertThat(answers, empty());
        assertThat(log.count(Event.REPLY_IGNORED), is(2L));
    }

    @Test
    void lateReplyIsIgnoredAfterTheTimeout() {
        long id = call(Set.of(CALLED));
        timers.forEach(Runnable::run);
        calls.complete(CALLED, id, "late");
        assertThat(answers, contains("timeout"));
    }

    @Test
    void onlyTheFirstReplyOfSeveralDaemonsCounts() {
        long id = call(Set.of(CALLED, OTHER));
        calls.complete(OTHER, id, "first");
        calls.complete(CALLED, id, "second");
        timers.forEach(Runnable::run);
        assertThat(answers, contains("first"));
    }

    /** Guards against processes whose ids are near each other, such as 1 and 2. */
    @Test
    void noTwoProcessesShareAnId() {
        int processes = 2000;
        int callsOfEach = 100;
        Set<Long> all = new HashSet<>();
        for (int i = 0; i < processes; i++) {
            CallIds each = new CallIds(new BootId("b" + i));
            for (int j = 0; j < callsOfEach; j++) {
                long id = each.next();
                assertThat(each.isIssued(id), is(true));
                assertThat(each.isIssued(id + 1), is(false));
                all.add(id);
            }
        }
        assertThat(all.size(), is(processes * callsOfEach));
    }

    private long call(Set<DaemonId> callees) {
        return calls.add(callees, TIMEOUT, answers::add, () -> answers.add("timeout"));
    }

    private static final class FixedClock implements Clock {
        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public long nanoTime() {
            return 0;
        }
    }
}
