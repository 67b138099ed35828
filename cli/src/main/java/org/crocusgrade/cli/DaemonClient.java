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

/** Reads the member list from the platform, and pages from the operators' port of each daemon. */
final class DaemonClient {
    private static final int CONCURRENT_PAGES = 32;

    private final PlatformAccess platform;

    DaemonClient(PlatformAccess platform) {
        this.platform = platform;
    }

    /**
     * A daemon and its page.
     *
     * @param member the daemon's entry in the member list
     * @param page the page, or empty if the daemon did not answer
     */
    record Reply(MemberRecord member, Optional<JsonNode> page) {}

    /** Reads the member list; entries that cannot be decoded are left out. */
    Uni<List<MemberRecord>> members() {
        return platform.store().list(MemberRecord.PREFIX).map(DaemonClient::decode);
    }

    /**
     * Reads a page from every daemon in the member list; returns the replies sorted by daemon id.
     */
    Uni<List<Reply>> pages(String path) {
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
                .map(DaemonClient::sorted);
    }

    private Uni<Reply> page(MemberRecord member, String path) {
        return platform.page(member.operators(), path)
                .map(page -> new Reply(member, Optional.of(page)))
                .onFailure()
                .recoverWithItem(new Reply(member, Optional.empty()));
    }

    private static List<Reply> sorted(List<Reply> replies) {
        return replies.stream()
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
