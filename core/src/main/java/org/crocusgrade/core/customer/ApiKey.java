package org.crocusgrade.core.customer;

/**
 * The secret by which a caller proves that it acts for a customer. Its text appears in no log line,
 * metric or error message.
 */
public final class ApiKey {
    private final String secret;

    /**
     * Creates a key.
     *
     * @throws IllegalArgumentException if the secret is empty
     */
    public ApiKey(String secret) {
        if (secret.isEmpty()) {
            throw new IllegalArgumentException("an API key must not be empty");
        }
        this.secret = secret;
    }

    /** Returns whether a JSON document contains the key as a text without escape sequences. */
    public boolean isTextOf(String document) {
        return document.contains('"' + secret + '"');
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ApiKey key && secret.equals(key.secret);
    }

    @Override
    public int hashCode() {
        return secret.hashCode();
    }

    /** Returns a placeholder in place of the secret. */
    @Override
    public String toString() {
        return "<API key>";
    }
}
