package org.crocusgrade.daemon.upstream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;

/**
 * A worker's complete answer.
 *
 * @param status its HTTP status
 * @param headers its headers
 * @param body its body
 */
public record Answer(int status, MultiMap headers, Buffer body) {}
