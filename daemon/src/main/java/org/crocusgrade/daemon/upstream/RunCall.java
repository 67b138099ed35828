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
 * One attempt as it goes to a worker.
 *
 * @param attempt its id, echoed by the answer
 * @param worker where the worker listens
 * @param service the service
 * @param pool the pool that the worker serves
 * @param method the caller's method
 * @param path the caller's path and query within the service, with its leading slash
 * @param headers the caller's headers
 * @param body the caller's whole body
 * @param timeout when to give up, with the connection closed
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
