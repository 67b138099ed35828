package org.crocusgrade.daemon.upstream;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.ServiceId;

/**
 * An attempt to be sent to a worker.
 *
 * @param attempt its id, which the answer must echo
 * @param worker the address on which the worker listens
 * @param service the service
 * @param pool the pool that the worker serves
 * @param method the caller's method
 * @param path the caller's path and query within the service, with its leading slash
 * @param headers the caller's headers
 * @param body the caller's complete body
 * @param timeout the time limit, after which the connection is closed
 * @param mayStart checked once there is a connection and before the first byte is written; if
 *     false, the attempt ends with {@code LEASE_LOST}
 */
public record RunCall(
        RequestId attempt,
        InetSocketAddress worker,
        ServiceId service,
        PoolId pool,
        HttpMethod method,
        String path,
        MultiMap headers,
        Buffer body,
        Duration timeout,
        BooleanSupplier mayStart) {}
