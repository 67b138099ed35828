package org.crocusgrade.core.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.crocusgrade.core.config.ServiceConfig.PathRule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class IdempotencyRuleTest {
    private static final List<PathRule> RULES =
            List.of(
                    new PathRule("POST", "/quote/bind", false),
                    new PathRule("POST", "/quote", true),
                    new PathRule("*", "/pay", false),
                    new PathRule("DELETE", "/", false));

    @ParameterizedTest
    @CsvSource({
        "GET, /x, true",
        "HEAD, /x, true",
        "OPTIONS, /x, true",
        "TRACE, /x, true",
        "PUT, /x, true",
        "POST, /x, false",
        "PATCH, /x, false",
        "CONNECT, /x, false",
        "get, /x, false",
        "POST, /quote, true",
        "POST, /quote/7, true",
        "POST, /quotes, false",
        "POST, /quote/bind, false",
        "PATCH, /quote, false",
        "GET, /pay, false",
        "GET, /pay/1, false",
        "GET, /payments, true",
        "DELETE, /x, false",
    })
    void firstMatchingRuleOverridesTheMethod(String method, String path, boolean idempotent) {
        assertThat(IdempotencyRule.isIdempotent(method, path, RULES), is(idempotent));
    }
}
