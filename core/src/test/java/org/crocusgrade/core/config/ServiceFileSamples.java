package org.crocusgrade.core.config;

/** Service files for tests. */
final class ServiceFileSamples {
    private ServiceFileSamples() {}

    /**
     * Returns a valid file whose deadline is one second plus the given milliseconds, so that files
     * differ.
     */
    static String service(String name, int millis) {
        return """
                [service]
                name = %s
                pool = %s
                class = prompt
                deadline = %dms
                run-time = 40ms
                queue-bound = 100

                [needs]
                cores = 2
                memory = 2GiB

                [capacity]
                min-workers = 2
                usual-workers = 4
                max-workers = 8

                [budget]
                max-unavailable = 1

                [maintenance]
                every = 21d
                max-drain = 2min
                """
                .formatted(name, name, 1000 + millis);
    }
}
