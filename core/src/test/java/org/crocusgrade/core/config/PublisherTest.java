package org.crocusgrade.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletionException;
import org.crocusgrade.core.config.FakeStore.Fault;
import org.crocusgrade.core.config.PublishException.Kind;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.StoreEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests publishes that conflict with concurrent ones, lose the answer to a write, or find the store
 * unreachable.
 */
class PublisherTest {
    private final FakeStore store = new FakeStore();
    private final Publisher publisher = new Publisher(store, Clock.system());

    @BeforeEach
    void publishTwoServices() throws Exception {
        publish("first", change("a", 1, "b", 1), ConfigHead.NONE);
    }

    @Test
    void publishesOfDisjointServicesAreRebased() throws Exception {
        ConfigHead base = head();
        store.beforeHeadWrite = () -> publishWithoutFaults("other", change("a", 2), base);
        assertThat(publish("mine", change("b", 2), base).rebased(), is(1));
        assertThat(head().version().value(), is(3L));
        assertThat(deadline("a"), is(1002L));
        assertThat(deadline("b"), is(1002L));
    }

    @Test
    void conflictOnTheSameServiceNamesTheOtherPublish() throws Exception {
        ConfigHead base = head();
        store.beforeHeadWrite = () -> publishWithoutFaults("other", change("b", 3), base);
        PublishException e = expectFailure("mine", change("b", 2), base);
        assertThat(e.kind(), is(Kind.OVERTAKEN));
        assertThat(e.getMessage(), containsString("service b"));
        assertThat(e.getMessage(), containsString("publish other (version 2)"));
        assertThat(deadline("b"), is(1003L));
    }

    @Test
    void lostAnswerAfterTheWriteIsReadBack() throws Exception {
        store.faults.add(Fault.LOST_AFTER_WRITE);
        assertThat(publish("mine", change("b", 2), head()).version().value(), is(2L));
        assertThat(store.writes.stream().filter(ConfigHead.KEY::equals).count(), is(2L));
    }

    @Test
    void lostAnswerIsReadBackAfterALaterPublish() throws Exception {
        ConfigHead base = head();
        store.faults.add(Fault.LOST_AFTER_WRITE);
        store.failReads =
                key -> {
                    if (key.equals(ConfigHead.KEY) && store.writes.size() == 5) {
                        store.failReads = k -> false;
                        publishWithoutFaults("later", change("a", 7), head());
                    }
                    return false;
                };
        assertThat(publish("mine", change("b", 2), base).version().value(), is(2L));
        assertThat(head().version().value(), is(3L));
        assertThat(deadline("b"), is(1002L));
    }

    @Test
    void delayedWriteAndRetryTakeEffectOnce() throws Exception {
        store.faults.add(Fault.LOST_AND_DELAYED);
        store.faults.add(Fault.LOST_AND_DELAYED);
        ConfigHead base = head();
        store.beforeHeadWrite = () -> store.beforeHeadWrite = store::deliverDelayed;
        assertThat(publish("mine", change("b", 2), base).version().value(), is(2L));
        store.deliverDelayed();
        assertThat(head().version().value(), is(2L));
    }

    @Test
    void storeUnreachableForReadingBackIsUnresolved() throws Exception {
        ConfigHead base = head();
        store.faults.add(Fault.LOST_BEFORE_WRITE);
        store.beforeHeadWrite = () -> store.failReads = key -> true;
        assertThat(expectFailure("mine", change("b", 2), base).kind(), is(Kind.UNRESOLVED));
    }

    @Test
    void storeUnreachableForTheHeadChangesNothing() throws Exception {
        ConfigHead base = head();
        store.faults.add(Fault.UNREACHED);
        assertThat(expectFailure("mine", change("b", 2), base).kind(), is(Kind.STORE_FAILED));
        assertThat(head().version().value(), is(1L));
    }

    @Test
    void storeUnreachableAfterALostAnswerIsUnresolved() throws Exception {
        store.faults.add(Fault.LOST_AND_DELAYED);
        store.faults.add(Fault.UNREACHED);
        ConfigHead base = head();
        assertThat(expectFailure("mine", change("b", 2), base).kind(), is(Kind.UNRESOLVED));
        store.deliverDelayed();
        assertThat(deadline("b"), is(1002L));
    }

    @Test
    void unchangedFileCreatesNoVersion() throws Exception {
        assertThat(publish("mine", change("b", 1), head()).changed(), is(false));
        assertThat(head().version().value(), is(1L));
    }

    @Test
    void removedServiceIsNotInTheHead() throws Exception {
        publish("mine", new ConfigChange(Map.of(), Set.of(new ServiceId("a")), Map.of()), head());
        assertThat(head().services().keySet(), equalTo(Set.of(new ServiceId("b"))));
    }

    @Test
    void alteredFileIsRejectedByTheLoader() throws Exception {
        String key = ConfigHead.blobKey(head().blob(new ServiceId("a")).orElseThrow());
        store.entries.put(
                key, new StoreEntry(key, 99, ServiceFileSamples.service("a", 9).getBytes()));
        ConfigException e = assertThrows(ConfigException.class, this::head);
        assertThat(e.problems().get(0).message(), is(ConfigMessage.DIGEST_MISMATCH));
    }

    /**
     * Runs 300 publishes with random faults and concurrent publishes, from a fixed seed. An
     * acknowledged publish must be in effect, a failed one must not take effect later unless it is
     * reported as unresolved, and versions must increase by one.
     */
    @Test
    void acknowledgedPublishesSurviveRacesAndFaults() throws Exception {
        Random random = new Random(7);
        Fault[] kinds = Fault.values();
        for (int i = 0; i < 300; i++) {
            ConfigHead base = head();
            int n = i;
            for (int f = random.nextInt(4); f > 0; f--) {
                store.faults.add(kinds[random.nextInt(kinds.length)]);
            }
            if (random.nextBoolean()) {
                store.beforeHeadWrite =
                        () -> publishWithoutFaults("other-" + n, change("a", n + 10), base);
            }
            String outcome = outcome("mine-" + i, change("b", i + 10), base);
            store.faults.clear();
            boolean before = deadline("b") == 1010 + i;
            store.deliverDelayed();
            boolean after = deadline("b") == 1010 + i;
            if (outcome.equals("done")) {
                assertThat(before, is(true));
            } else if (!outcome.equals(Kind.UNRESOLVED.code)) {
                assertThat("run " + i + " " + outcome, after, is(false));
            }
            assertThat(head().version().compareTo(base.version()) >= 0, is(true));
            assertThat(versions(head()), equalTo(sequence(head())));
        }
    }

    private static List<Long> versions(ConfigHead head) {
        return head.history().stream().map(r -> r.version().value()).toList();
    }

    private static List<Long> sequence(ConfigHead head) {
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < head.history().size(); i++) {
            all.add(head.version().value() - i);
        }
        return all;
    }

    private String outcome(String id, ConfigChange change, ConfigHead base) throws Exception {
        try {
            publish(id, change, base);
            return "done";
        } catch (PublishException e) {
            return e.kind().code;
        }
    }

    private void publishWithoutFaults(String id, ConfigChange change, ConfigHead base) {
        Runnable hook = store.beforeHeadWrite;
        List<Fault> faults = List.copyOf(store.faults);
        store.faults.clear();
        publisher.publish(new PublishId(id), change, base).await().indefinitely();
        store.faults.addAll(faults);
        store.beforeHeadWrite = hook;
    }

    private Publisher.Result publish(String id, ConfigChange change, ConfigHead base)
            throws Exception {
        return await(publisher.publish(new PublishId(id), change, base));
    }

    private PublishException expectFailure(String id, ConfigChange change, ConfigHead base) {
        PublishException e = assertThrows(PublishException.class, () -> publish(id, change, base));
        store.failReads = key -> false;
        return e;
    }

    private ConfigHead head() {
        return bundle().head();
    }

    private long deadline(String service) {
        return bundle().fleet().services().get(new ServiceId(service)).deadline().toMillis();
    }

    private ConfigBundle bundle() {
        return uncheck(() -> await(publisher.current()));
    }

    private static ConfigChange change(Object... serviceAndNumber) {
        return uncheck(
                () -> {
                    Map<String, String> texts = new java.util.LinkedHashMap<>();
                    for (int i = 0; i < serviceAndNumber.length; i += 2) {
                        String name = (String) serviceAndNumber[i];
                        int number = (Integer) serviceAndNumber[i + 1];
                        texts.put(name + ".ini", ServiceFileSamples.service(name, number));
                    }
                    return ConfigChange.of(texts, Set.of());
                });
    }

    private interface Action<T> {
        T run() throws Exception;
    }

    @SuppressWarnings("unchecked")
    private static <T, E extends Throwable> T uncheck(Action<T> action) throws E {
        try {
            return action.run();
        } catch (Exception e) {
            throw (E) e;
        }
    }

    private static <T> T await(Uni<T> uni) throws Exception {
        try {
            return uni.await().indefinitely();
        } catch (CompletionException e) {
            if (e.getCause() instanceof Exception cause) {
                throw cause;
            }
            throw e;
        }
    }
}
