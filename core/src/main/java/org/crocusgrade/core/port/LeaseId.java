package org.crocusgrade.core.port;

/** Names a lease of the platform's key-value service. */
public record LeaseId(long value) {}
