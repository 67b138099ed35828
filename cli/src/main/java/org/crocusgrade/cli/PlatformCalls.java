package org.crocusgrade.cli;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.CompletionException;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.PublishException;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.core.port.StoreException;

/** Waits for asynchronous calls and converts their failures to {@link CliException}. */
final class PlatformCalls {
    private PlatformCalls() {}

    /** Waits for a call without a timeout; {@link PlatformAccess} implementations set one. */
    static <T> T await(PlatformAccess platform, Uni<T> call) throws CliException {
        try {
            return call.await().indefinitely();
        } catch (CompletionException e) {
            throw translate(platform, e.getCause());
        }
    }

    private static CliException translate(PlatformAccess platform, Throwable e) {
        if (e instanceof ConfigException config) {
            return new CliException(config.problems());
        }
        if (e instanceof StoreException) {
            return new CliException(
                    CliMessage.PLATFORM_FAILED,
                    Addresses.format(platform.address()),
                    e.getMessage());
        }
        if (e instanceof PublishException publish) {
            return switch (publish.kind()) {
                case UNRESOLVED -> new CliException(CliMessage.UNRESOLVED, e.getMessage());
                case STORE_FAILED ->
                        new CliException(
                                CliMessage.PLATFORM_FAILED,
                                Addresses.format(platform.address()),
                                e.getMessage());
                default -> new CliException(CliMessage.NOT_PUBLISHED, e.getMessage());
            };
        }
        return new CliException(CliMessage.FAILED, String.valueOf(e));
    }
}
