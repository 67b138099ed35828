package org.crocusgrade.bench.spread;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.config.BlobId;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;

/**
 * Generates versions of a configuration of 80 services (about 1 MiB), with one or all files new.
 */
final class ConfigGenerator {
    private static final int SERVICES = 80;
    private static final int COMMENT_CHARS = 97;
    private static final int COMMENT_LINES = (1 << 20) / SERVICES / (COMMENT_CHARS + 3);

    private ConfigBundle last = ConfigBundle.EMPTY;

    /** Returns the next version: all files differ, or only one; the first version has all files. */
    ConfigBundle nextVersion(boolean all) throws ConfigException {
        int version = (int) last.head().version().value();
        Map<ServiceId, BlobId> services = new HashMap<>(last.head().services());
        Map<BlobId, String> files = new HashMap<>();
        for (int i = 0; i < (all || version == 0 ? SERVICES : 1); i++) {
            String text = file(i, version);
            files.put(BlobId.of(text), text);
            services.put(new ServiceId("service-" + i), BlobId.of(text));
        }
        PublishId id = new PublishId("publish-" + version);
        last = ConfigBundle.assemble(last.head().next(id, Instant.EPOCH, services), files, last);
        return last;
    }

    private static String file(int service, int version) {
        String name = "service-" + service;
        String text =
                """
                [service]
                name = %s
                pool = %s
                class = prompt
                deadline = %dms
                run-time = 40ms
                queue-bound = 512
                [needs]
                cores = 4
                memory = 4GiB
                [capacity]
                min-workers = 2
                usual-workers = 6
                max-workers = 24
                [budget]
                max-unavailable = 1
                [maintenance]
                every = 21d
                max-drain = 2min
                """
                        .formatted(name, name, 1000 + version);
        return text + ("# " + "-".repeat(COMMENT_CHARS) + "\n").repeat(COMMENT_LINES);
    }
}
