package org.crocusgrade.daemon.edge;

import java.util.Map;
import org.crocusgrade.core.id.ServiceId;

/**
 * The flows of the configuration in force; immutable, replaced as a whole.
 *
 * @param flows by service
 */
public record FlowTable(Map<ServiceId, ServiceFlow> flows) {
    /** The table while no configuration is in force. */
    public static final FlowTable EMPTY = new FlowTable(Map.of());

    /** Copies the map. */
    public FlowTable {
        flows = Map.copyOf(flows);
    }
}
