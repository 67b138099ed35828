package org.crocusgrade.core.port;

/** The id of a lease of the platform's key-value service. */
public record LeaseId(long value) {}
