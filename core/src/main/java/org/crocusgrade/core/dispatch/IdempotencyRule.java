package org.crocusgrade.core.dispatch;

import java.util.List;
import java.util.Set;
import org.crocusgrade.core.config.ServiceConfig.PathRule;

/**
 * Decides whether a request may run more than once: by RFC 9110, unless a rule of its service
 * overrides it.
 */
public final class IdempotencyRule {
    private static final String ANY_METHOD = "*";
    private static final Set<String> IDEMPOTENT =
            Set.of("GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE");

    private IdempotencyRule() {}

    /**
     * Returns whether a request is idempotent; the first rule that matches decides.
     *
     * @param method the HTTP method; case-sensitive, as in RFC 9110
     * @param path the path within the service, with its leading slash and without a query
     */
    public static boolean isIdempotent(String method, String path, List<PathRule> rules) {
        for (PathRule rule : rules) {
            if (matches(rule, method, path)) {
                return rule.idempotent();
            }
        }
        return IDEMPOTENT.contains(method);
    }

    private static boolean matches(PathRule rule, String method, String path) {
        if (!rule.method().equals(ANY_METHOD) && !rule.method().equals(method)) {
            return false;
        }
        String prefix = rule.prefix();
        if (!path.startsWith(prefix)) {
            return false;
        }
        return prefix.endsWith("/")
                || path.length() == prefix.length()
                || path.charAt(prefix.length()) == '/';
    }
}
