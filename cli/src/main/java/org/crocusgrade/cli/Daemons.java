package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.member.MemberCodec;
import org.crocusgrade.core.member.MemberException;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.StoreEntry;

/** Finds the daemons in the member list and reads their pages. */
final class Daemons {
    private static final int CONCURRENT_PAGES = 32;

    private final PlatformAccess platform;

    Daemons(PlatformAccess platform) {
        this.platform = platform;
    }

    /**
     * A daemon with its page.
     *
     * @param member its entry in the member list
     * @param page its page, if it answered
     */
    record Answer(MemberRecord member, Optional<JsonNode> page) {}

    /** Reads the member list. */
    Uni<List<MemberRecord>> members() {
        return platform.store().list(MemberRecord.PREFIX).map(Daemons::decode);
    }

    /** Reads a page of every daemon in the member list. */
    Uni<List<Answer>> pages(String path) {
        return members()
                .chain(
                        members ->
                                Multi.createFrom()
                                        .iterable(members)
                                        .onItem()
                                        .transformToUni(member -> page(member, path))
                                        .merge(CONCURRENT_PAGES)
                                        .collect()
                                        .asList())
                .map(Daemons::sorted);
    }

    private Uni<Answer> page(MemberRecord member, String path) {
        return platform.page(member.operators(), path)
                .map(page -> new Answer(member, Optional.of(page)))
                .onFailure()
                .recoverWithItem(new Answer(member, Optional.empty()));
    }

    private static List<Answer> sorted(List<Answer> answers) {
        return answers.stream()
                .sorted((a, b) -> a.member().daemon().compareTo(b.member().daemon()))
                .toList();
    }

    private static List<MemberRecord> decode(List<StoreEntry> entries) {
        List<MemberRecord> members = new ArrayList<>();
        for (StoreEntry entry : entries) {
            try {
                members.add(MemberCodec.decode(entry.value()));
            } catch (MemberException e) {
                continue;
            }
        }
        return members;
    }
}
