package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.HostControl;

/** A platform without hosts, which rejects all orders. */
final class NoHosts implements HostControl {
    @Override
    public Uni<List<PooledHost>> hosts() {
        return Uni.createFrom().item(List.of());
    }

    @Override
    public Uni<Outcome> move(HostId host, ServiceId pool, Credentials credentials) {
        return Uni.createFrom().item(Outcome.INVALID);
    }

    @Override
    public Uni<Outcome> maintain(HostId host, int wave, Credentials credentials) {
        return Uni.createFrom().item(Outcome.INVALID);
    }
}
